package gateway

import (
	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// nextTarget returns the target of the next attempt, or the refusal that ends the
// request.
func (x *exchange) nextTarget(a *attempt, f *failure) (target.Target, *verdict.Error) {
	if refusal := x.terminalRefusal(a, f); refusal != nil {
		return target.Target{}, refusal
	}
	t, refusal := x.pickTarget()
	if refusal != nil {
		return target.Target{}, refusal
	}
	if !x.server.opts.RetryBudget.Allow() {
		return target.Target{}, x.refusal(f.verdict, verdict.RetryBudget, "target %s failed and this host's retry budget is spent", a.target.ID)
	}
	x.server.opts.Metrics.Retried(f.reason)
	return t, nil
}

// terminalRefusal returns a refusal if the failure permits no further attempt, and nil
// otherwise.
func (x *exchange) terminalRefusal(a *attempt, f *failure) *verdict.Error {
	switch {
	case x.sink.started():
		return x.refusal(verdict.MayHaveRun, verdict.TargetFailed, "target %s stopped answering during the answer", a.target.ID)
	case x.timedOut():
		return x.refusal(f.verdict, verdict.Deadline, "the request took longer than %v", x.server.opts.RequestTimeout)
	case a.attached && (x.req.nonIdempotent || a.number >= route.MaxAttempts):
		return x.refusal(verdict.MayHaveRun, verdict.ClaimHeld, "the request was dispatched before and its stream cannot be read")
	case f.reason == verdict.Deadline:
		return x.refusal(f.verdict, f.reason, "the deadline passed before the request could be dispatched")
	case f.permanent:
		return x.refusal(f.verdict, f.reason, "target %s refused the request: %v", a.target.ID, f.err)
	case route.MayRetry(f.verdict, !x.req.nonIdempotent, x.sink.started(), a.number):
		return nil
	case a.number >= route.MaxAttempts:
		return x.refusal(f.verdict, f.reason, "%d targets failed, the last one was %s", a.number, a.target.ID)
	}
	return x.refusal(f.verdict, f.reason, "target %s failed; a non-idempotent request is not repeated", a.target.ID)
}

// refusal returns a refusal after a failed attempt. It sets RetryAfter unless the reason
// is the request itself or its deadline, since a retry would fail again.
func (x *exchange) refusal(v verdict.Verdict, r verdict.Reason, format string, args ...any) *verdict.Error {
	e := verdict.New(v, r, format, args...)
	if r == verdict.BadRequest || r == verdict.Deadline {
		return e
	}
	return e.WithRetryAfter(defaultRetryAfter)
}
