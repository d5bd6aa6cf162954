package integration

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// onceSending is the outcome of one sending of a non-idempotent request.
type onceSending struct {
	daemon  string
	sent    time.Time
	ended   time.Time
	whole   bool
	stream  string // of a whole answer
	correct bool   // a whole answer is the one to this request
	verdict verdict.Verdict
	reason  verdict.Reason
	err     error
}

// settled reports whether the caller has no reason to send the request again
// at once: it has the answer, or it was told that the request ran or may have run.
func (s onceSending) settled() bool {
	return s.whole || s.verdict == verdict.MayHaveRun || s.verdict == verdict.Ran
}

// answered reports whether the caller got a whole answer or a refusal.
func (s onceSending) answered() bool {
	return s.whole || s.verdict != ""
}

// String implements fmt.Stringer.
func (s onceSending) String() string {
	outcome := fmt.Sprintf("%s %s", s.verdict, s.reason)
	if s.whole {
		outcome = "whole " + s.stream
	}
	if s.err != nil {
		outcome = s.err.Error()
	}
	return fmt.Sprintf("{%s %s-%s %s}", s.daemon, s.sent.Format(time.StampMicro), s.ended.Format(time.StampMicro), outcome)
}
