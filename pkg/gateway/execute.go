package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

var (
	errCallerGone = errors.New("the caller left")
	errLate       = errors.New("the deadline passed before the dispatch")
	errNoStream   = errors.New("a plain service keeps no stream to attach to")
	errNoTarget   = errors.New("the target of the stream is not known to this host")
)

// execute runs one attempt. It returns nil when the answer was sent and settled.
func (x *exchange) execute(a *attempt) *failure {
	x.sink.reset()
	if a.attached {
		return x.attach(a)
	}
	if x.callerGone() {
		return &failure{verdict: verdict.NotRun, reason: verdict.TargetFailed, gone: true, err: errCallerGone}
	}
	if x.late() {
		return &failure{verdict: verdict.NotRun, reason: verdict.Deadline, permanent: true, err: errLate}
	}
	x.join(a)
	x.server.opts.Picker.Started(a.target.ID)
	began := time.Now()
	f := x.dispatchTo(a)
	if f == nil {
		x.server.opts.Picker.Served(x.req.service.Name, time.Since(began))
	}
	x.server.opts.Picker.Ended(a.target.ID, f.blamesTarget())
	return f
}

// dispatchTo sends the request to the target of a granted attempt.
func (x *exchange) dispatchTo(a *attempt) *failure {
	call := engine.Call{
		Target:   a.target,
		Stream:   a.stream,
		Priority: x.req.priority,
		Fencing:  x.server.opts.Identity.Fencing(),
		Method:   x.req.method,
		Path:     x.req.path,
		Header:   x.req.header,
		Body:     x.req.body,
	}
	if x.req.plain {
		return x.call(a, call)
	}
	began := time.Now()
	st, err := x.server.opts.Engine.Open(x.ctx, call)
	x.waited += time.Since(began)
	if err != nil {
		st, err = x.reopenUnclear(a, err)
	}
	if err != nil {
		return x.failureIn(err)
	}
	x.note(telemetry.Step{Kind: telemetry.StepDispatched, Attempt: a.number, Target: a.target.ID, Stream: a.stream})
	return x.relay(a, st)
}

// reopenUnclear tries to read a stream whose dispatch ended without a clear
// result: the target may have accepted it before the connection broke.
func (x *exchange) reopenUnclear(a *attempt, cause error) (engine.Stream, error) {
	f := failureOf(cause)
	if f.verdict == verdict.NotRun || f.permanent {
		return nil, cause
	}
	return x.resume(a, cause)
}

// call runs a call of a plain service.
func (x *exchange) call(a *attempt, call engine.Call) *failure {
	response, err := x.server.opts.Engine.Do(x.ctx, call)
	if err != nil {
		return x.failureIn(err)
	}
	if response.Status < http.StatusOK || response.Status > maxStatus {
		return x.failureIn(fmt.Errorf("the target answered with status %d", response.Status))
	}
	x.note(telemetry.Step{Kind: telemetry.StepDispatched, Attempt: a.number, Target: a.target.ID, Stream: a.stream})
	x.settleCompleted(a, x.req.service.CallCost, true)
	x.sendPlain(response)
	x.completed(a)
	return nil
}

// attachDelays are the waits before an attachment is read again after the
// target did not know the stream: the first dispatch may still be on its way.
var attachDelays = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}

// attach reads a stream that was dispatched before.
func (x *exchange) attach(a *attempt) *failure {
	if x.req.plain {
		return &failure{verdict: verdict.MayHaveRun, reason: verdict.ClaimHeld, err: errNoStream}
	}
	if a.target.Addr == "" {
		return &failure{verdict: verdict.MayHaveRun, reason: verdict.ClaimHeld, err: errNoTarget}
	}
	x.join(a)
	st, err := x.openAttached(a)
	if err != nil {
		return x.failureIn(err)
	}
	return x.relay(a, st)
}

// openAttached opens an attached stream from its start.
func (x *exchange) openAttached(a *attempt) (engine.Stream, error) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	st, err := x.server.opts.Engine.Resume(x.ctx, a.target, a.stream, 0)
	for _, delay := range attachDelays {
		if !errors.Is(err, engine.ErrUnknownStream) || !sleep(x.ctx, delay) {
			break
		}
		st, err = x.server.opts.Engine.Resume(x.ctx, a.target, a.stream, 0)
	}
	return st, err
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
