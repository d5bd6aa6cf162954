package integration

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// onceAttempt is the outcome of one send attempt of a non-idempotent request.
type onceAttempt struct {
	daemon   string
	sent     time.Time
	ended    time.Time
	complete bool   // a complete answer was received
	stream   string // stream of a complete answer
	correct  bool   // the complete answer belongs to this request
	verdict  verdict.Verdict
	reason   verdict.Reason
	err      error
}

// conclusive reports whether the caller need not send the request again: it has the
// answer, or it was told that the request ran or may have run.
func (a onceAttempt) conclusive() bool {
	return a.complete || a.verdict == verdict.MayHaveRun || a.verdict == verdict.Ran
}

// answered reports whether the caller got a complete answer or a refusal.
func (a onceAttempt) answered() bool {
	return a.complete || a.verdict != ""
}

// String implements fmt.Stringer.
func (a onceAttempt) String() string {
	outcome := fmt.Sprintf("%s %s", a.verdict, a.reason)
	if a.complete {
		outcome = "complete " + a.stream
	}
	if a.err != nil {
		outcome = a.err.Error()
	}
	return fmt.Sprintf("{%s %s-%s %s}", a.daemon, a.sent.Format(time.StampMicro), a.ended.Format(time.StampMicro), outcome)
}
