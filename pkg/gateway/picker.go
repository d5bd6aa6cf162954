package gateway

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Picker chooses targets. It is safe for concurrent use.
type Picker interface {
	// Pick returns a target, or a refusal with verdict NotRun.
	Pick(req route.Request) (target.Target, *verdict.Error)
	// Started counts a dispatch to a target until Ended.
	Started(id string)
	// Ended ends what Started counted. Failed means that the target did not
	// answer or answered with an error, not that the caller left or that the
	// target's queue is full.
	Ended(id string, failed bool)
	// Served tells how long a completed request occupied a target of a service.
	Served(service string, occupied time.Duration)
}

// Targets looks up targets, also those that take no new work.
type Targets interface {
	// Target returns a target by its id.
	Target(id string) (target.Target, bool)
}
