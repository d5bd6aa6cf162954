package forward

import (
	"errors"
	"mime"
	"net/http"
	"os"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// streamBufferBytes is the size of the read buffer of an event stream.
const streamBufferBytes = 4096

// isEventStream reports whether a response is an event stream. Parameters of the media
// type are ignored, also invalid ones.
func isEventStream(header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return media == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// forwardStream forwards events as they arrive. Only complete events are forwarded,
// so that another target can resume the stream after the last one.
func (c *call) forwardStream(a *balance.Attempt, response *upstream.Response) attemptResult {
	if response.Status != http.StatusOK {
		return c.forwardBuffered(a, response)
	}
	splitter, times, writeErr, err := c.pumpEvents(a, response)
	if writeErr != nil {
		c.h.Observer.StreamEnded(response.Framing, StreamCancelled)
		a.End(time.Now(), balance.Cancelled)
		return c.handleWriteError(writeErr)
	}
	return c.handleStreamEnd(a, response, splitter, times, err)
}

// pumpEvents forwards the events of a response until it ends. It returns the splitter with what
// followed the last event, the times of the events, and either the error of writing to the
// caller or that which ended the response. a is nil if the response is that of another host.
func (c *call) pumpEvents(a *balance.Attempt, response *upstream.Response) (splitter *eventSplitter, times eventTimes, writeErr, err error) {
	splitter = &eventSplitter{}
	buffer := make([]byte, streamBufferBytes)
	stall := newStallTimer(c.h.StreamStallTimeout, response)
	defer stall.stop()
	memory := eventMemory{shared: &c.h.bodies, response: c.responseMemory}
	defer memory.release()
	c.reads = c.watchReads(c.neededOf(a))
	defer func() {
		if needed := c.reads.stop(); needed != "" {
			c.recordUnread(needed)
			writeErr = errNotRead
		}
		c.reads = nil
	}()
	for {
		readAt := time.Now()
		var n int
		n, err = response.Read(buffer)
		if n > 0 {
			outputs := splitter.outputs
			events := splitter.add(buffer[:n])
			if len(events) > 0 && times.add(readAt, time.Now()) {
				c.recordAnswering(times, time.Now())
			}
			if splitter.outputs > outputs {
				stall.progress()
			}
			if splitter.outputs > c.maxOutputEvents() {
				return splitter, times, nil, errTooManyEvents
			}
			if writeErr = c.forwardEvents(response, events); writeErr != nil {
				return splitter, times, writeErr, nil
			}
		}
		if err == nil && splitter.tooLong() {
			err = errEventTooLong
		}
		if splitter.responseHead {
			err = errResponseInStream
		}
		if err == nil && !memory.resize(splitter.size()) {
			err = errBodyMemory
		}
		if err != nil && stall.expired() {
			err = errStreamStalled
		}
		if err != nil {
			return splitter, times, nil, err
		}
	}
}

// errNotRead ends the writes of a response that is abandoned because its caller does not read.
var errNotRead = errors.New("caller does not read its response")

// handleWriteError handles an event that could not be written to the caller: its connection is
// closed, or it has not read until the deadline. The response must not look complete then.
func (c *call) handleWriteError(err error) attemptResult {
	if c.notRead {
		return attemptResult{reason: ResponseNotRead, mayHaveRun: true}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
	}
	c.h.Log.Info().Str("request", c.id).Int64("events", c.events).Err(err).Msg("Caller disconnected during the event stream.")
	return attemptResult{done: true, reason: CallerGone}
}

// forwardEvents writes events to the caller and records the id of the last one.
// Events that were already sent are skipped, as a target that resumes a stream may
// repeat them.
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
	c.reads.begin()
	defer c.reads.end()
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

// sendStreamHeader sends the response header before the first event. Later calls, for
// a target that resumes the stream, do nothing.
func (c *call) sendStreamHeader(response *upstream.Response) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	if c.r.ProtoAtLeast(1, 1) {
		// For an HTTP/1.0 caller, the stream would look complete: net/http closes the
		// connection of a failed write, so that it can no longer be reset.
		c.setWriteDeadline()
	}
	c.copyResponseHeader(response)
	c.w.WriteHeader(response.Status)
	c.timeToFirstByte = time.Since(c.receivedAt)
}

// completeStream ends the response to the caller after a complete stream.
func (c *call) completeStream(response *upstream.Response, splitter *eventSplitter) {
	c.sendStreamHeader(response)
	if remainder := splitter.remainder(); len(remainder) > 0 {
		_, _ = c.w.Write(remainder) // an error means that the caller has disconnected
	}
	c.recordResponse(response.Status)
}

// handleStreamEnd handles the end of a target's event stream, complete or not.
func (c *call) handleStreamEnd(a *balance.Attempt, response *upstream.Response, splitter *eventSplitter, times eventTimes, err error) attemptResult {
	now := time.Now()
	c.trailingBytes = len(splitter.remainder())
	end := c.streamEnd(response.Framing, splitter, err)
	c.h.Observer.StreamEnded(response.Framing, end)
	switch end {
	case StreamComplete:
		a.End(now, balance.Served)
		c.recordAnswered(response, times, now)
		c.completeStream(response, splitter)
		return attemptResult{done: true}
	case StreamCancelled:
		a.End(now, balance.Cancelled)
		return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
	case StreamNoMemory:
		a.End(now, balance.Failed)
	default:
		a.End(now, balance.Broken)
		c.recordBroken(a, times, now)
	}
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Int64("events", c.events).Str("framing", string(response.Framing)).Str("end", string(end)).
		Int("trailing_bytes", c.trailingBytes).Strs("parts", c.partKeys()).Err(err).Msg("Event stream of a target ended before it was complete.")
	if end == StreamNoMemory {
		return attemptResult{reason: TargetFailed, mayHaveRun: true}
	}
	return attemptResult{reason: AnswerBroken, mayHaveRun: true, overrun: end == StreamOverrun && c.headerSent}
}
