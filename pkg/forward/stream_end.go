package forward

import (
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// StreamEnd says how the event stream of a target ended. It is a label of metrics.
type StreamEnd string

// Ends of event streams.
const (
	StreamComplete    StreamEnd = "complete"         // the body ended after a complete event
	StreamMidEvent    StreamEnd = "incomplete_event" // the body ended within an event
	StreamEmpty       StreamEnd = "no_event"         // the connection ended before the first event, and nothing else marks the end of the body
	StreamInterrupted StreamEnd = "interrupted"      // the connection failed before the end of the body
	StreamLongEvent   StreamEnd = "event_too_long"   // an event exceeded maxEventBytes
	StreamNoMemory    StreamEnd = "no_memory"        // the events without end of all streams used up their shared memory
	StreamOverrun     StreamEnd = "too_many_events"  // there were more events than the request can produce
	StreamOverwritten StreamEnd = "response_head"    // the head of another response followed an event
	StreamStalled     StreamEnd = "stalled"          // no event with data was completed for Options.StreamStallTimeout
	StreamCancelled   StreamEnd = "cancelled"        // the caller disconnected, or the deadline passed
)

// errEventTooLong is the end of a stream with an event of more than maxEventBytes.
var errEventTooLong = fmt.Errorf("%w: event exceeds %d bytes", upstream.ErrInvalidResponse, maxEventBytes)

// errTooManyEvents is the end of a stream with more events than maxOutputEvents.
var errTooManyEvents = fmt.Errorf("%w: more events than the request can produce", upstream.ErrInvalidResponse)

// errResponseInStream is the end of a stream in which the head of a response follows an
// event: a target that fails writes it without regard to what it has sent.
var errResponseInStream = fmt.Errorf("%w: head of a response within an event stream", upstream.ErrInvalidResponse)

// errStreamStalled is the end of a stream that made no progress for too long.
var errStreamStalled = errors.New("no event was completed for too long")

// eventsWithoutToken is the number of events with data that a model engine may send in
// addition to those that hold output tokens, such as an event for the end.
const eventsWithoutToken = 16

// maxOutputEvents returns the largest number of events with data that a target can send
// for the request: each but eventsWithoutToken holds at least one output token. It
// returns math.MaxInt64 if the output is not measured in tokens or not limited.
func (c *call) maxOutputEvents() int64 {
	if c.service.Engine == nil || c.cost.MaxOutput <= 0 || c.cost.MaxOutput > math.MaxInt64-eventsWithoutToken {
		return math.MaxInt64
	}
	return c.cost.MaxOutput + eventsWithoutToken
}

// streamEnd returns how an event stream ended whose last read returned err. A regular
// end of the body alone does not make a stream complete: a target that crashes may
// close its connection, which is the regular end of a body without a length and chunks.
func (c *call) streamEnd(framing upstream.Framing, splitter *eventSplitter, err error) StreamEnd {
	complete := errors.Is(err, io.EOF)
	switch {
	case complete && !splitter.withinEvent() && (splitter.count > 0 || framing != upstream.FramedByClose):
		return StreamComplete
	case c.ctx.Err() != nil:
		return StreamCancelled
	case complete && splitter.withinEvent():
		return StreamMidEvent
	case complete:
		return StreamEmpty
	case errors.Is(err, errEventTooLong):
		return StreamLongEvent
	case errors.Is(err, errBodyMemory):
		return StreamNoMemory
	case errors.Is(err, errTooManyEvents):
		return StreamOverrun
	case errors.Is(err, errResponseInStream):
		return StreamOverwritten
	case errors.Is(err, errStreamStalled):
		return StreamStalled
	}
	return StreamInterrupted
}
