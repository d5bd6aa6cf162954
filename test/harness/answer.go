package harness

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Answer is what a caller recorded of one sending of a request.
type Answer struct {
	Request   Request
	Daemon    string
	Sent      time.Time
	Ended     time.Time
	Status    int // HTTP status; 0: no reply
	Stream    string
	Text      string
	Usage     *engine.Usage // nil: none received
	Complete  bool          // the answer came with its last event
	Verdict   verdict.Verdict
	Reason    verdict.Reason
	RequestID string
	Err       error // the connection or the form of the reply failed
}

// Refused reports whether the daemon refused the request with a verdict,
// before or after the stream began.
func (a Answer) Refused() bool { return a.Verdict != "" }
