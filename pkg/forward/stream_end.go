package forward

import (
	"errors"
	"fmt"
	"io"

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
	StreamCancelled   StreamEnd = "cancelled"        // the caller disconnected, or the deadline passed
)

// errEventTooLong is the end of a stream with an event of more than maxEventBytes.
var errEventTooLong = fmt.Errorf("%w: event exceeds %d bytes", upstream.ErrInvalidResponse, maxEventBytes)

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
	}
	return StreamInterrupted
}
