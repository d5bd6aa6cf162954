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

// maxStatus is the highest valid HTTP status code; the classes that HTTP defines are 1xx to
// 5xx.
const maxStatus = 599

var (
	errCallerDisconnected = errors.New("the caller left")
	errDeadlinePassed     = errors.New("the deadline passed before the dispatch")
	errPlainNotAttachable = errors.New("a plain service keeps no stream to attach to")
	errUnknownTarget      = errors.New("the target of the stream is not known to this host")
)

// execute runs one attempt. It returns nil if the response was sent and settled.
func (x *exchange) execute(a *attempt) *failure {
	x.sink.reset()
	if a.attached {
		return x.attach(a)
	}
	if x.callerDisconnected() {
		return &failure{verdict: verdict.NotRun, reason: verdict.TargetFailed, disconnected: true, err: errCallerDisconnected}
	}
	if x.deadlinePassed() {
		return &failure{verdict: verdict.NotRun, reason: verdict.Deadline, permanent: true, err: errDeadlinePassed}
	}
	x.addReader(a)
	x.server.opts.Picker.DispatchStarted(a.target.ID)
	began := time.Now()
	f := x.dispatch(a)
	if f == nil {
		x.server.opts.Picker.ObserveExecutionTime(x.req.service.Name, time.Since(began))
	}
	x.server.opts.Picker.DispatchEnded(a.target.ID, f.isTargetFault())
	return f
}

// dispatch sends the request to the target of a granted attempt and relays the response.
func (x *exchange) dispatch(a *attempt) *failure {
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
		return x.callPlainService(a, call)
	}
	began := time.Now()
	st, err := x.server.opts.Engine.Open(x.ctx, call)
	x.waited += time.Since(began)
	if err != nil {
		st, err = x.resumeAfterDispatchError(a, err)
	}
	if err != nil {
		return x.classifyError(err)
	}
	x.record(telemetry.Step{Kind: telemetry.StepDispatched, Attempt: a.number, Target: a.target.ID, Stream: a.stream})
	return x.relay(a, st)
}

// resumeAfterDispatchError tries to read the stream of a dispatch that returned an error,
// since the target may have accepted the request before the connection broke. It returns
// cause if the stream cannot be read, the target did not run the request or the request
// would fail on any target.
func (x *exchange) resumeAfterDispatchError(a *attempt, cause error) (engine.Stream, error) {
	f := classifyEngineError(cause)
	if f.verdict == verdict.NotRun || f.permanent {
		return nil, cause
	}
	return x.resume(a, cause)
}

// callPlainService calls a plain service, settles the call and sends the response.
func (x *exchange) callPlainService(a *attempt, call engine.Call) *failure {
	response, err := x.server.opts.Engine.Do(x.ctx, call)
	if err != nil {
		return x.classifyError(err)
	}
	if response.Status < http.StatusOK || response.Status > maxStatus {
		return x.classifyError(fmt.Errorf("the target answered with status %d", response.Status))
	}
	x.record(telemetry.Step{Kind: telemetry.StepDispatched, Attempt: a.number, Target: a.target.ID, Stream: a.stream})
	x.settleCompleted(a, x.req.service.CallCost, true)
	x.sendPlainResponse(response)
	x.recordCompletion(a)
	return nil
}

// attachRetryDelays are the delays before the retries of opening an attached stream that its
// target does not know. The dispatch of the stream may not have reached the target yet.
var attachRetryDelays = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}

// attach relays a stream that was dispatched earlier, by this or another daemon.
func (x *exchange) attach(a *attempt) *failure {
	if x.req.plain {
		return &failure{verdict: verdict.MayHaveRun, reason: verdict.ClaimHeld, err: errPlainNotAttachable}
	}
	if a.target.Addr == "" {
		return &failure{verdict: verdict.MayHaveRun, reason: verdict.ClaimHeld, err: errUnknownTarget}
	}
	x.addReader(a)
	st, err := x.openAttachedStream(a)
	if err != nil {
		return x.classifyError(err)
	}
	return x.relay(a, st)
}

// openAttachedStream opens an attached stream at its first event.
func (x *exchange) openAttachedStream(a *attempt) (engine.Stream, error) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	st, err := x.server.opts.Engine.Resume(x.ctx, a.target, a.stream, 0)
	for _, delay := range attachRetryDelays {
		if !errors.Is(err, engine.ErrUnknownStream) || !sleep(x.ctx, delay) {
			break
		}
		st, err = x.server.opts.Engine.Resume(x.ctx, a.target, a.stream, 0)
	}
	return st, err
}

// sleep waits for d. It returns false if ctx ends earlier.
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
