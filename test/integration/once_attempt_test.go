package integration

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// onceSending is the outcome of one sending of a non-idempotent request.
type onceAttempt struct {
	daemon   string
	sent     time.Time
	ended    time.Time
	complete bool
	stream   string // of a whole answer
	correct  bool   // a whole answer is the one to this request
	verdict  verdict.Verdict
	reason   verdict.Reason
	err      error
}

// settled reports whether the caller has no reason to send the request again
// at once: it has the answer, or it was told that the request ran or may have run.
func (s onceAttempt) conclusive() bool {
	return s.complete || s.verdict == verdict.MayHaveRun || s.verdict == verdict.Ran
}

// answered reports whether the caller got a whole answer or a refusal.
func (s onceAttempt) answered() bool {
	return s.complete || s.verdict != ""
}

// String implements fmt.Stringer.
func (s onceAttempt) String() string {
	outcome := fmt.Sprintf("%s %s", s.verdict, s.reason)
	if s.complete {
		outcome = "whole " + s.stream
	}
	if s.err != nil {
		outcome = s.err.Error()
	}
	return fmt.Sprintf("{%s %s-%s %s}", s.daemon, s.sent.Format(time.StampMicro), s.ended.Format(time.StampMicro), outcome)
}
