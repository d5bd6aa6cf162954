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
func (s onceAttempt) conclusive() bool {
	return s.complete || s.verdict == verdict.MayHaveRun || s.verdict == verdict.Ran
}

// answered reports whether the caller got a complete answer or a refusal.
func (s onceAttempt) answered() bool {
	return s.complete || s.verdict != ""
}

// String implements fmt.Stringer.
func (s onceAttempt) String() string {
	outcome := fmt.Sprintf("%s %s", s.verdict, s.reason)
	if s.complete {
		outcome = "complete " + s.stream
	}
	if s.err != nil {
		outcome = s.err.Error()
	}
	return fmt.Sprintf("{%s %s-%s %s}", s.daemon, s.sent.Format(time.StampMicro), s.ended.Format(time.StampMicro), outcome)
}
