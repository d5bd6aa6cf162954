package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxResumes bounds the resumes of one attempt. One repairs a broken
// connection; the second covers a target that was busy accepting.
const maxResumes = 2

// resumeDelay is the wait before the second resume.
const resumeDelay = 50 * time.Millisecond

var errIncomplete = errors.New("the stream ended before its last event")

// relay sends a stream's events to the caller until its end. It closes the stream.
func (x *exchange) relay(a *attempt, st engine.Stream) *failure {
	defer func() { _ = st.Close() }()
	for {
		ev, err := x.nextEvent(st)
		if err != nil {
			_ = st.Close()
			reopened, err := x.resume(a, err)
			if err != nil {
				return x.classifyError(err)
			}
			st = reopened
			continue
		}
		if ev.Index < a.nextIndex {
			// A resumed stream may start before the requested event.
			continue
		}
		if ev.Index > a.nextIndex {
			return x.classifyError(fmt.Errorf("event %d is missing before event %d", a.nextIndex, ev.Index))
		}
		done, f := x.handleEvent(a, ev)
		if f != nil || done {
			return f
		}
	}
}

// nextEvent reads an event. The wait counts as the target's until the first token was sent.
func (x *exchange) nextEvent(st engine.Stream) (engine.Event, error) {
	if x.sink.started() {
		return mapEOF(st.Next())
	}
	began := time.Now()
	ev, err := mapEOF(st.Next())
	x.waited += time.Since(began)
	return ev, err
}

// checkEnd turns an end of the stream without a last event into an error.
func mapEOF(ev engine.Event, err error) (engine.Event, error) {
	if errors.Is(err, io.EOF) {
		return ev, errIncomplete
	}
	return ev, err
}

// take sends one event in order. Done means that the request has ended.
func (x *exchange) handleEvent(a *attempt, ev engine.Event) (done bool, f *failure) {
	a.nextIndex++
	a.tokens += int64(ev.Tokens)
	if a.tokens > x.req.maxOutput {
		return true, x.truncate(a, ev)
	}
	if ev.Done {
		return true, x.complete(a, ev)
	}
	began := x.sink.started()
	err := x.sink.addEvent(ev)
	if !began && x.sink.started() {
		x.observeFirstToken()
	}
	return false, x.classifySinkError(err)
}

// sendFailure turns an error of the sink into the end of the attempt. A
// non-idempotent request goes on without its caller.
func (x *exchange) classifySinkError(err error) *failure {
	if err == nil {
		return nil
	}
	if !errors.Is(err, errCallerDisconnected) {
		return x.classifyError(err)
	}
	x.writeFailed = true
	if x.req.nonIdempotent {
		return nil
	}
	return x.classifyError(err)
}

// firstToken records the latency that this daemon added to the first token.
func (x *exchange) observeFirstToken() {
	x.server.opts.Metrics.FirstToken(time.Since(x.received) - x.waited)
}

// resume reopens a broken stream at the same target from the next event, or
// returns the cause.
func (x *exchange) resume(a *attempt, cause error) (engine.Stream, error) {
	for a.resumes < maxResumes && x.ctx.Err() == nil {
		if a.resumes > 0 && !sleep(x.ctx, resumeDelay) {
			return nil, cause
		}
		a.resumes++
		st, err := x.server.opts.Engine.Resume(x.ctx, a.target, a.stream, a.nextIndex)
		if err == nil {
			x.record(telemetry.Step{Kind: telemetry.StepResumed, Attempt: a.number, Target: a.target.ID, Stream: a.stream, Detail: cause.Error()})
			return st, nil
		}
		if errors.Is(err, engine.ErrUnknownStream) {
			return nil, cause
		}
	}
	return nil, cause
}

// complete settles a stream at its last event and only then releases the event.
func (x *exchange) complete(a *attempt, ev engine.Event) *failure {
	tokens, usageKnown := x.chargedTokens(ev.Usage)
	if err := x.sink.prepare(ev); err != nil {
		return x.classifyError(err)
	}
	x.settleCompleted(a, tokens, usageKnown)
	began := x.sink.started()
	x.sink.finish(ev)
	if !began && x.req.stream {
		x.observeFirstToken()
	}
	x.recordCompletion(a)
	return nil
}

// completed records that the whole answer was sent.
func (x *exchange) recordCompletion(a *attempt) {
	x.releaseReader(a)
	x.server.streamReaders.markSettled(a.stream)
	x.record(telemetry.Step{Kind: telemetry.StepCompleted, Attempt: a.number, Target: a.target.ID, Stream: a.stream})
	outcome := telemetry.OutcomeCompleted
	if x.callerDisconnected() {
		outcome = telemetry.OutcomeCancelled
	}
	x.countOutcome(outcome)
}

// cut ends an answer at the output limit, when the target exceeds it. The
// event that exceeds the limit is not sent.
func (x *exchange) truncate(a *attempt, exceeding engine.Event) *failure {
	usage := exceeding.Usage
	if usage == nil {
		usage = x.cancelAtTarget(a)
	}
	x.record(telemetry.Step{Kind: telemetry.StepCancelled, Attempt: a.number, Target: a.target.ID, Stream: a.stream, Detail: "output limit reached"})
	last := lengthLimitEvent(exceeding, usage)
	return x.complete(a, last)
}

// cancelTimeout bounds a cancel. The caller may be waiting for its last event.
const cancelTimeout = time.Second

// cancelAtTarget stops a stream and returns its usage, or nil if the target
// does not tell it.
func (x *exchange) cancelAtTarget(a *attempt) *engine.Usage {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
	defer cancel()
	usage, err := x.server.opts.Engine.Cancel(ctx, a.target, a.stream)
	if err != nil {
		return nil
	}
	return &usage
}

// usageOf returns the tokens to charge. More than the bound was never reserved
// and is not charged; without a usage the bound is.
func (x *exchange) chargedTokens(usage *engine.Usage) (tokens int64, usageKnown bool) {
	if usage == nil {
		return x.req.bound, false
	}
	tokens = max(usage.TotalTokens, usage.PromptTokens+usage.CompletionTokens)
	if tokens > x.req.bound {
		x.server.opts.Logger.Warn().Str("request", x.id).Int64("tokens", tokens).Int64("bound", x.req.bound).Msg("Usage exceeds the bound.")
	}
	return min(max(tokens, 0), x.req.bound), true
}

// leave ends a request whose caller left. The stream is cancelled and settled
// only if no other request reads it.
func (x *exchange) handleDisconnect(a *attempt, f *failure) {
	x.record(telemetry.Step{Kind: telemetry.StepCancelled, Attempt: a.number, Target: a.target.ID, Stream: a.stream, Detail: "the caller left"})
	x.countOutcome(telemetry.OutcomeCancelled)
	lastReader := x.releaseReader(a)
	switch {
	case f.verdict == verdict.NotRun && !a.attached:
		x.queueSettlement(a, x.notDispatchedSettlement(a))
	case lastReader:
		x.queueSettlement(a, x.cancelForSettlement(a))
	case a.attached:
		x.finalizeLastFailed()
	}
}

// join counts the request as a reader of the attempt's stream.
func (x *exchange) addReader(a *attempt) {
	a.reading = true
	x.server.streamReaders.addReader(a.stream, !a.attached)
}

// unjoin ends join. It reports whether the stream has no reader left and is
// still to be settled by this daemon.
func (x *exchange) releaseReader(a *attempt) (lastOfUnsettled bool) {
	if !a.reading {
		return false
	}
	a.reading = false
	return x.server.streamReaders.removeReader(a.stream)
}
