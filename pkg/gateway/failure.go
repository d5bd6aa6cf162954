package gateway

import (
	"errors"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// failure describes why an attempt ended without a complete response.
type failure struct {
	verdict      verdict.Verdict // verdict of this attempt, regardless of earlier ones
	reason       verdict.Reason
	targetDied   bool // the target stopped responding
	permanent    bool // the attempt would fail on any other target too
	disconnected bool // the caller disconnected
	queueFull    bool // the target's queue is full
	err          error
}

// isTargetFault reports whether the target should receive no new requests until its
// next report. A target with a full queue is healthy: excluding every such target under
// overload would leave none, and requests would be refused with no_target. A target
// that responds with status 503 counts as faulty, since it may be shutting down.
func (f *failure) isTargetFault() bool {
	return f != nil && !f.disconnected && !f.permanent && !f.queueFull
}

// classifyEngineError returns the failure for an error of the engine client. If the
// error has no verdict, the request may have run.
func classifyEngineError(err error) *failure {
	f := &failure{verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, err: err}
	var e *engine.Error
	if !errors.As(err, &e) {
		return f
	}
	if e.Verdict.Valid() {
		f.verdict = e.Verdict
	}
	f.targetDied = e.TargetDown
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

// classifyError returns the failure for an error of an attempt. If the caller of an
// idempotent request disconnected, or the request timed out, that is taken as the cause
// of the error.
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

// recordFailure excludes the target from further attempts and adds the failed attempt
// to the journal.
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
