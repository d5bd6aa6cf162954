package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// streamBufferBytes is the read buffer of a stream, in bytes.
const streamBufferBytes = 4096

// forwardStream passes events on as they arrive. Only whole events are passed on, so
// that another target can go on after the last one.
func (c *call) forwardStream(a *balance.Attempt, response *upstream.Response) attemptResult {
	if response.Status != http.StatusOK {
		return c.forwardBuffered(a, response)
	}
	splitter := &eventSplitter{}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if writeErr := c.forwardEvents(response, splitter.add(buffer[:n])); writeErr != nil {
				a.End(time.Now(), balance.Cancelled)
				return c.callerDisconnected(writeErr)
			}
		}
		if err != nil {
			return c.handleStreamEnd(a, response, splitter, err)
		}
	}
}

func (c *call) callerDisconnected(err error) attemptResult {
	c.h.Log.Info().Str("request", c.id).Int64("events", c.events).Err(err).Msg("Caller left its stream.")
	return attemptResult{done: true, reason: CallerGone}
}

// forwardEvents writes events to the caller and remembers the last one. An event
// that was passed on before is dropped.
func (c *call) forwardEvents(response *upstream.Response, events []event) error {
	if len(events) == 0 {
		return nil
	}
	c.sendStreamHeader(response)
	now := time.Now()
	if c.events > 0 {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	for _, e := range events {
		if c.lastEventID != "" && !isNewEvent(e.id, c.lastEventID) {
			continue
		}
		if _, err := c.w.Write(e.raw); err != nil {
			return err
		}
		c.events++
		if e.id != "" {
			c.lastEventID = e.id
		}
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *call) sendStreamHeader(response *upstream.Response) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	c.copyResponseHeader(response)
	c.w.WriteHeader(response.Status)
	c.timeToFirstByte = time.Since(c.receivedAt)
}

// handleStreamEnd handles the end of the answer of one target.
func (c *call) handleStreamEnd(a *balance.Attempt, response *upstream.Response, splitter *eventSplitter, err error) attemptResult {
	now := time.Now()
	if errors.Is(err, io.EOF) {
		a.End(now, balance.Served)
		c.sendStreamHeader(response)
		if remainder := splitter.remainder(); len(remainder) > 0 {
			_, _ = c.w.Write(remainder) // the caller sees a short body if it has left
		}
		c.recordResponse(response.Status)
		return attemptResult{done: true}
	}
	if c.ctx.Err() != nil {
		a.End(now, balance.Cancelled)
		return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
	}
	a.End(now, balance.Broken)
	c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Int64("events", c.events).Err(err).Msg("Stream broken off.")
	return attemptResult{reason: AnswerBroken, mayHaveRun: true}
}
