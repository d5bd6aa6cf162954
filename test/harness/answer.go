package harness

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Answer is the record of one send attempt of a request.
type Answer struct {
	Request   Request
	Daemon    string
	Sent      time.Time
	Ended     time.Time
	Status    int    // HTTP status; 0: no reply received
	Stream    string // stream id; empty: none received
	Text      string
	Usage     *engine.Usage // nil: no usage received
	Complete  bool          // the answer was received up to its last event
	Verdict   verdict.Verdict
	Reason    verdict.Reason
	RequestID string
	Err       error // connection error or malformed reply
}

// Refused reports whether the daemon refused the request with a verdict,
// before or after the stream began.
func (a Answer) Refused() bool { return a.Verdict != "" }
