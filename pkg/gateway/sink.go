package gateway

import (
	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// sink sends a response to the caller in the format that the caller requested.
type sink interface {
	// reset discards the events of an earlier attempt. It must not be called after
	// started returns true.
	reset()
	// addEvent processes an event that is not the last. It returns
	// errCallerDisconnected if the caller can no longer be written to.
	addEvent(ev engine.Event) error
	// prepare checks that the response can be sent, given its last event. It sends
	// nothing.
	prepare(ev engine.Event) error
	// finish sends the last event, or the whole response if nothing was sent yet.
	finish(ev engine.Event)
	// started reports whether a part of the response was sent to the caller.
	started() bool
	// fail ends a partially sent response with a refusal.
	fail(e *verdict.Error)
}

// newSink returns the sink for the response format that the caller requested.
func newSink(x *exchange) sink {
	if x.req.stream {
		return newEventSink(x)
	}
	return &objectSink{x: x}
}
