package gateway

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Picker chooses targets and is told how requests to them end. It is safe for
// concurrent use.
type Picker interface {
	// Pick returns a target, or a refusal with verdict NotRun.
	Pick(req route.Request) (target.Target, *verdict.Error)
	// DispatchStarted counts a dispatch to a target as in progress until DispatchEnded is
	// called.
	DispatchStarted(id string)
	// DispatchEnded ends a dispatch counted by DispatchStarted. The argument failed is
	// true if the target did not respond or responded with an error. It is false if the
	// caller disconnected, the target's queue is full or the request would fail on any
	// target.
	DispatchEnded(id string, failed bool)
	// ObserveExecutionTime records how long a completed request took at a target of a
	// service.
	ObserveExecutionTime(service string, duration time.Duration)
}

// Targets looks up targets, including those that receive no new requests.
type Targets interface {
	// Target returns the target with this id.
	Target(id string) (target.Target, bool)
}
