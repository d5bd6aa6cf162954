package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// streamBuffer is the read buffer of a stream, in bytes.
const streamBuffer = 4096

// stream passes events on as they arrive. Only whole events are passed on, so
// that another target can go on after the last one.
func (c *call) stream(a *balance.Attempt, response *upstream.Response) step {
	if response.Status != http.StatusOK {
		return c.whole(a, response)
	}
	splitter := &eventSplitter{}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if writeErr := c.passEvents(response, splitter.add(buffer[:n])); writeErr != nil {
				a.End(time.Now(), balance.Cancelled)
				return c.callerLeft(writeErr)
			}
		}
		if err != nil {
			return c.streamEnded(a, response, splitter, err)
		}
	}
}

func (c *call) callerLeft(err error) step {
	c.h.Log.Info().Str("request", c.id).Int64("events", c.events).Err(err).Msg("Caller left its stream.")
	return step{done: true, reason: CallerGone}
}

// passEvents writes events to the caller and remembers the last one. An event
// that was passed on before is dropped.
func (c *call) passEvents(response *upstream.Response, events []event) error {
	if len(events) == 0 {
		return nil
	}
	c.startStream(response)
	now := time.Now()
	if c.events > 0 {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	for _, e := range events {
		if c.lastEvent != "" && !after(e.id, c.lastEvent) {
			continue
		}
		if _, err := c.w.Write(e.raw); err != nil {
			return err
		}
		c.events++
		if e.id != "" {
			c.lastEvent = e.id
		}
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *call) startStream(response *upstream.Response) {
	if c.started {
		return
	}
	c.started = true
	c.head(response)
	c.w.WriteHeader(response.Status)
	c.firstByte = time.Since(c.arrived)
}

// streamEnded handles the end of the answer of one target.
func (c *call) streamEnded(a *balance.Attempt, response *upstream.Response, splitter *eventSplitter, err error) step {
	now := time.Now()
	if errors.Is(err, io.EOF) {
		a.End(now, balance.Served)
		c.startStream(response)
		if rest := splitter.rest(); len(rest) > 0 {
			_, _ = c.w.Write(rest) // the caller sees a short body if it has left
		}
		c.finished(response.Status)
		return step{done: true}
	}
	if c.ctx.Err() != nil {
		a.End(now, balance.Cancelled)
		return step{reason: DeadlinePassed, ran: true}
	}
	a.End(now, balance.Broken)
	c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Int64("events", c.events).Err(err).Msg("Stream broken off.")
	return step{reason: AnswerBroken, ran: true}
}
