package gateway

import (
	"errors"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// failure is the end of an attempt without an answer.
type failure struct {
	verdict      verdict.Verdict // of this attempt alone
	reason       verdict.Reason
	targetDied   bool // the target stopped answering
	permanent    bool // another target would give the same result
	disconnected bool // the caller left
	queueFull    bool // the target's queue is full
	err          error
}

// blamesTarget reports whether the target should take no new work until it
// reports again. A target whose queue is full is healthy: taking out every busy
// target turns overload into refusals for lack of a target. A target that
// answers with 503 may be leaving.
func (f *failure) isTargetFault() bool {
	return f != nil && !f.disconnected && !f.permanent && !f.queueFull
}

// failureOf classifies an error of the engine client. An error without a
// verdict may have run.
func classifyEngineError(err error) *failure {
	f := &failure{verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, err: err}
	var e *engine.Error
	if !errors.As(err, &e) {
		return f
	}
	if e.Verdict.Valid() {
		f.verdict = e.Verdict
	}
	f.targetDied = e.Died
	f.queueFull = e.Status == http.StatusTooManyRequests
	switch e.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		f.reason = verdict.BadRequest
		f.permanent = true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.reason = verdict.Overloaded
	}
	return f
}

// failureIn classifies an error of an attempt. When the caller left or the
// request timed out, the error is the effect of that.
func (x *exchange) classifyError(err error) *failure {
	f := classifyEngineError(err)
	switch {
	case x.callerDisconnected() && !x.req.nonIdempotent:
		f.disconnected = true
	case x.timedOut():
		f.reason = verdict.Deadline
		f.permanent = true
		f.targetDied = false
	}
	return f
}

// noteFailure records a failed attempt.
func (x *exchange) recordFailure(a *attempt, f *failure) {
	x.exclude = append(x.exclude, a.target.ID)
	if f.verdict != verdict.NotRun || a.attached {
		x.mayHaveRun = true
	}
	x.record(telemetry.Step{
		Kind: telemetry.StepFailed, Attempt: a.number, Target: a.target.ID, Stream: a.stream,
		Verdict: f.verdict, Reason: f.reason, Detail: f.err.Error(),
	})
}
