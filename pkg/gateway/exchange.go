package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// exchange is the processing of one caller's request from arrival to completion. It
// is used by one goroutine only.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	received time.Time
	waited   time.Duration // time spent waiting for the caller's body or for targets, until the first token is sent
	id       string        // request id
	customer string        // customer id; empty until the request is authenticated

	req            *request
	sink           sink
	ctx            context.Context // ends at the request timeout; for idempotent requests also when the caller disconnects
	cancel         context.CancelFunc
	exclude        []string // ids of the targets that were tried
	mayHaveRun     bool     // whether a target may have run the request
	writeFailed    bool     // whether a write to the caller failed
	unfinalized    *attempt // last failed attempt, if its settlement is not marked final
	attachedStream string   // id of the stream of the last attachment
}

// newExchange returns the exchange of a request. The request id is the idempotency key
// if that is well-formed, and a generated id otherwise.
func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	id := r.Header.Get(idempotencyKeyHeader)
	if !idempotencyKeyPattern.MatchString(id) {
		id = newRequestID()
	}
	return &exchange{
		server: s, w: w, r: r, id: id,
		control:  http.NewResponseController(w),
		received: time.Now(),
	}
}

// serve processes an admitted request until its response or refusal is sent.
func (x *exchange) serve() {
	x.ctx, x.cancel = context.WithTimeout(context.WithoutCancel(x.r.Context()), x.server.opts.RequestTimeout)
	defer x.cancel()
	if !x.req.nonIdempotent {
		// A non-idempotent request continues after its caller disconnects, so that a
		// retry can attach to its stream.
		stop := context.AfterFunc(x.r.Context(), x.cancel)
		defer stop()
	}
	x.sink = newSink(x)
	x.server.opts.Metrics.StreamOpened()
	defer x.server.opts.Metrics.StreamClosed()
	x.runAttempts()
}

// runAttempts tries targets until one completes the request or the request is refused.
func (x *exchange) runAttempts() {
	t, refusal := x.pickTarget()
	for n := 1; refusal == nil; n++ {
		var a *attempt
		a, refusal = x.reserve(n, t)
		if refusal != nil {
			break
		}
		f := x.execute(a)
		if f == nil {
			return
		}
		x.recordFailure(a, f)
		if f.disconnected {
			x.handleDisconnect(a, f)
			return
		}
		t, refusal = x.nextTarget(a, f)
		x.settleFailed(a, f, refusal != nil)
	}
	x.finalizeLastFailed()
	x.refuse(refusal)
}

// pickTarget chooses a target that has not been tried.
func (x *exchange) pickTarget() (target.Target, *verdict.Error) {
	if x.deadlinePassed() {
		return target.Target{}, verdict.New(verdict.NotRun, verdict.Deadline, "the deadline passed before the request could be dispatched")
	}
	t, refusal := x.server.opts.Picker.Pick(x.req.routeRequest(x.exclude))
	if refusal != nil {
		return target.Target{}, refusal
	}
	x.record(telemetry.Step{Kind: telemetry.StepTarget, Target: t.ID})
	return t, nil
}

// deadlinePassed reports whether the caller set a deadline and it has passed.
func (x *exchange) deadlinePassed() bool {
	return !x.req.deadline.IsZero() && !time.Now().Before(x.req.deadline)
}

// callerDisconnected reports whether the caller no longer waits for the response.
func (x *exchange) callerDisconnected() bool {
	return x.writeFailed || x.r.Context().Err() != nil
}

// timedOut reports whether the request timeout has passed.
func (x *exchange) timedOut() bool {
	return errors.Is(x.ctx.Err(), context.DeadlineExceeded)
}

// refuse ends the request with a refusal, whose verdict it adjusts with adjustVerdict.
func (x *exchange) refuse(e *verdict.Error) {
	e = x.adjustVerdict(e)
	x.server.opts.Metrics.Refused(e)
	x.record(telemetry.Step{Kind: telemetry.StepRefused, Verdict: e.Verdict, Reason: e.Reason, Detail: e.Message})
	if x.sink != nil && x.sink.started() {
		x.countOutcome(telemetry.OutcomeFailed)
		x.sink.fail(e)
		return
	}
	x.countOutcome(telemetry.OutcomeRefused)
	writeRefusal(x.w, e.Reason.HTTPStatus(), e, x.id)
}

// countOutcome counts the outcome of an admitted request in the metrics.
func (x *exchange) countOutcome(o telemetry.Outcome) {
	if x.req != nil {
		x.server.opts.Metrics.Finished(x.req.service.Name, o)
	}
}

// record adds a step to the journal. Requests that were not authenticated have no
// journal entry.
func (x *exchange) record(step telemetry.Step) {
	if x.customer == "" {
		return
	}
	step.At = time.Now()
	x.server.opts.Journal.Add(x.customer, x.id, step)
}
