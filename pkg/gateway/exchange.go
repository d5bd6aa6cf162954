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

// exchange carries one caller's request from its arrival to its end. One
// goroutine owns it.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	received time.Time
	waited   time.Duration // time spent waiting for the caller's body or for targets, until the first token
	id       string        // request id
	customer string        // empty until authenticated

	req            *request
	sink           sink
	ctx            context.Context // ends with the request timeout; for idempotent requests also when the caller leaves
	cancel         context.CancelFunc
	exclude        []string // targets that were tried
	mayHaveRun     bool     // a target may have run the request
	writeFailed    bool     // writing to the caller failed
	unfinalized    *attempt // a failed attempt whose settlement was not marked final
	attachedStream string   // stream of the last attachment
}

// newExchange returns the exchange of a request. Its id is the idempotency key
// if that is well-formed.
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

// serve runs an admitted request to its end.
func (x *exchange) serve() {
	x.ctx, x.cancel = context.WithTimeout(context.WithoutCancel(x.r.Context()), x.server.opts.RequestTimeout)
	defer x.cancel()
	if !x.req.nonIdempotent {
		// A non-idempotent request goes on without its caller, so that a retry can attach.
		stop := context.AfterFunc(x.r.Context(), x.cancel)
		defer stop()
	}
	x.sink = newSink(x)
	x.server.opts.Metrics.StreamOpened()
	defer x.server.opts.Metrics.StreamClosed()
	x.runAttempts()
}

// attempts tries targets until one answers or the request is refused.
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

// pick chooses a target that was not tried.
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

// late reports whether the caller's deadline has passed.
func (x *exchange) deadlinePassed() bool {
	return !x.req.deadline.IsZero() && !time.Now().Before(x.req.deadline)
}

// callerGone reports whether no one waits for the answer.
func (x *exchange) callerDisconnected() bool {
	return x.writeFailed || x.r.Context().Err() != nil
}

// timedOut reports whether the request timeout has passed.
func (x *exchange) timedOut() bool {
	return errors.Is(x.ctx.Err(), context.DeadlineExceeded)
}

// refuse ends the request with a refusal. A refusal that follows a dispatch
// says that the request may have run.
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

// finished counts the end of an admitted request.
func (x *exchange) countOutcome(o telemetry.Outcome) {
	if x.req != nil {
		x.server.opts.Metrics.Finished(x.req.service.Name, o)
	}
}

// note adds a step to the journal. Requests without a customer have no record.
func (x *exchange) record(step telemetry.Step) {
	if x.customer == "" {
		return
	}
	step.At = time.Now()
	x.server.opts.Journal.Add(x.customer, x.id, step)
}
