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

// maxResumes is the maximum number of resumes per attempt. The first recovers from a
// broken connection, the second from a target that was too busy to accept the first.
const maxResumes = 2

// resumeDelay is the delay before each resume of an attempt after the first.
const resumeDelay = 50 * time.Millisecond

var errIncomplete = errors.New("the stream ended before its last event")

// relay sends the events of a stream to the caller until the request ends. It resumes
// the stream if the connection to the target breaks, and closes it at the end.
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

// nextEvent reads an event. Until the first token is sent, the time is added to waited.
func (x *exchange) nextEvent(st engine.Stream) (engine.Event, error) {
	if x.sink.started() {
		return mapEOF(st.Next())
	}
	began := time.Now()
	ev, err := mapEOF(st.Next())
	x.waited += time.Since(began)
	return ev, err
}

// mapEOF replaces io.EOF, which a stream returns if it ends without a last event, by
// errIncomplete.
func mapEOF(ev engine.Event, err error) (engine.Event, error) {
	if errors.Is(err, io.EOF) {
		return ev, errIncomplete
	}
	return ev, err
}

// handleEvent sends one event to the caller. It ends the request at the last event, or
// if the output limit is exceeded; done is true then.
func (x *exchange) handleEvent(a *attempt, ev engine.Event) (done bool, f *failure) {
	a.nextIndex++
	a.tokens += int64(ev.Tokens)
	if a.tokens > x.req.maxOutput {
		return true, x.truncate(a, ev)
	}
	if ev.Done {
		return true, x.complete(a, ev)
	}
	wasStarted := x.sink.started()
	err := x.sink.addEvent(ev)
	if !wasStarted && x.sink.started() {
		x.observeFirstToken()
	}
	return false, x.classifySinkError(err)
}

// classifySinkError returns the failure for an error of the sink, or nil if the attempt
// continues. A non-idempotent request continues after its caller disconnects.
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

// observeFirstToken records the latency that this daemon added to the first token.
func (x *exchange) observeFirstToken() {
	x.server.opts.Metrics.FirstToken(time.Since(x.received) - x.waited)
}

// resume reopens a broken stream at the same target from the next event. It returns
// cause if the stream cannot be reopened.
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

// complete settles a stream and then sends its last event.
func (x *exchange) complete(a *attempt, ev engine.Event) *failure {
	tokens, usageKnown := x.chargedTokens(ev.Usage)
	if err := x.sink.prepare(ev); err != nil {
		return x.classifyError(err)
	}
	x.settleCompleted(a, tokens, usageKnown)
	wasStarted := x.sink.started()
	x.sink.finish(ev)
	if !wasStarted && x.req.stream {
		x.observeFirstToken()
	}
	x.recordCompletion(a)
	return nil
}

// recordCompletion records that the complete response was sent.
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

// truncate ends a response whose target exceeded the output limit. The event that
// exceeds the limit is not sent.
func (x *exchange) truncate(a *attempt, exceeding engine.Event) *failure {
	usage := exceeding.Usage
	if usage == nil {
		usage = x.cancelAtTarget(a)
	}
	x.record(telemetry.Step{Kind: telemetry.StepCancelled, Attempt: a.number, Target: a.target.ID, Stream: a.stream, Detail: "output limit reached"})
	last := lengthLimitEvent(exceeding, usage)
	return x.complete(a, last)
}

// cancelTimeout is the maximum duration of a cancel call. It is short because the caller
// may be waiting for its last event.
const cancelTimeout = time.Second

// cancelAtTarget cancels a stream at its target and returns the usage, or nil if the
// target does not report it.
func (x *exchange) cancelAtTarget(a *attempt) *engine.Usage {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
	defer cancel()
	usage, err := x.server.opts.Engine.Cancel(ctx, a.target, a.stream)
	if err != nil {
		return nil
	}
	return &usage
}

// chargedTokens returns the tokens to charge. Usage above the bound was not reserved
// and is not charged. If the usage is unknown, the bound is charged.
func (x *exchange) chargedTokens(usage *engine.Usage) (tokens int64, usageKnown bool) {
	if usage == nil {
		return x.req.bound, false
	}
	tokens = max(usage.TotalTokens, usage.PromptTokens+usage.CompletionTokens)
	if tokens > x.req.bound {
		x.server.opts.Logger.Warn().Str("request", x.id).Int64("tokens", tokens).Int64("bound", x.req.bound).Msg("Target reported more tokens than reserved; charging only the bound.")
	}
	return min(max(tokens, 0), x.req.bound), true
}

// handleDisconnect ends a request whose caller disconnected. The stream is cancelled and
// settled only if no other request reads it.
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

// addReader counts the request as a reader of the attempt's stream.
func (x *exchange) addReader(a *attempt) {
	a.reading = true
	x.server.streamReaders.addReader(a.stream, !a.attached)
}

// releaseReader undoes addReader, if that was called for the attempt. It returns true
// if the stream has no reader left and this daemon must settle it.
func (x *exchange) releaseReader(a *attempt) (mustSettle bool) {
	if !a.reading {
		return false
	}
	a.reading = false
	return x.server.streamReaders.removeReader(a.stream)
}
