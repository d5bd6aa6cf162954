package route

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Policy chooses a target for a request.
type Policy interface {
	// Pick returns the target to which req is to be dispatched at now. view
	// holds the current status of all targets, of which one is picked. A refusal
	// has the verdict not_run, the reason no_target, overloaded or deadline, and a
	// RetryAfter unless a retry cannot succeed.
	Pick(req Request, view []target.Status, now time.Time) (target.Target, *verdict.Error)
}
