package route

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Policy chooses a target for a request.
type Policy interface {
	// Pick returns the target to dispatch req to, chosen from view at now. A
	// refusal has the verdict not_run, the reason no_target, overloaded or
	// deadline, and a RetryAfter unless a retry can't help.
	Pick(req Request, view []target.Status, now time.Time) (target.Target, *verdict.Error)
}
