package gateway

import (
	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// sink sends an answer to the caller in the form that it asked for.
type sink interface {
	// reset forgets what an earlier attempt left. It is not called once started.
	reset()
	// event takes an event that is not the last. It returns errCallerGone when
	// the caller does not take bytes any more.
	addEvent(ev engine.Event) error
	// prepare checks that the answer can be sent with its last event.
	prepare(ev engine.Event) error
	// finish sends the last event.
	finish(ev engine.Event)
	// started reports whether the caller received a part of the answer.
	started() bool
	// fail ends a started answer with a refusal.
	fail(e *verdict.Error)
}

// newSink returns the sink for the caller's form of answer.
func newSink(x *exchange) sink {
	if x.req.stream {
		return newEventSink(x)
	}
	return &objectSink{x: x}
}
