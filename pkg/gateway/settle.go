package gateway

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// settlement returns a settlement of an attempt. The caller sets Tokens, UsageKnown, Final
// and TargetDied.
func (x *exchange) settlement(a *attempt, o home.AttemptOutcome) home.SettleRequest {
	return home.SettleRequest{
		Customer:    x.req.customer.ID,
		Budget:      x.req.budget,
		Request:     x.req.id,
		Grant:       a.grant,
		Stream:      a.stream,
		Target:      a.target.ID,
		Entry:       a.incarnation,
		Outcome:     o,
		Fingerprint: x.req.fingerprint,
		Bound:       x.req.bound,
	}
}

// notDispatchedSettlement returns the final settlement of an attempt that no target
// received.
func (x *exchange) notDispatchedSettlement(a *attempt) home.SettleRequest {
	s := x.settlement(a, home.NotDispatched)
	s.UsageKnown = true
	s.Final = true
	return s
}

// cancelForSettlement cancels the stream of an attempt at its target and returns the
// final settlement with the usage that the target reports. A call to a plain service
// has no stream; it is settled with its bound.
func (x *exchange) cancelForSettlement(a *attempt) home.SettleRequest {
	s := x.settlement(a, home.Failed)
	s.Tokens = x.req.bound
	s.Final = true
	if x.req.plain {
		return s
	}
	s.Tokens, s.UsageKnown = x.chargedTokens(x.cancelAtTarget(a))
	return s
}

// failedSettlement returns the settlement of a failed attempt. The argument lastReader
// is true if no other request reads its stream, so that the stream can be cancelled.
func (x *exchange) failedSettlement(a *attempt, f *failure, lastReader bool) home.SettleRequest {
	if f.verdict == verdict.NotRun {
		return x.notDispatchedSettlement(a)
	}
	if lastReader && !f.targetDied {
		return x.cancelForSettlement(a)
	}
	s := x.settlement(a, home.Failed)
	s.Tokens = x.req.bound
	s.TargetDied = f.targetDied
	return s
}

// settleCompleted settles a completed attempt. It waits until the settlement is durable,
// but no longer than SettleWait, including resubmissions after the home has failed or
// has not replied in time. After that the outbox continues to submit it.
func (x *exchange) settleCompleted(a *attempt, tokens int64, usageKnown bool) {
	s := x.settlement(a, home.Completed)
	s.Tokens = tokens
	s.UsageKnown = usageKnown
	s.Final = true
	x.server.opts.Metrics.Billed(x.req.service.Name, tokens)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.server.opts.SettleWait)
	defer cancel()
	durable := x.settleNow(ctx, a, s)
	select {
	case <-durable:
	case <-ctx.Done():
	}
}

// settleFailed settles a failed attempt. If no further attempt follows, the outbox
// submits the settlement, so that the caller does not wait for it. An attached stream
// is settled by the request that dispatched it, unless that request has ended.
func (x *exchange) settleFailed(a *attempt, f *failure, final bool) {
	lastReader := x.releaseReader(a)
	if a.attached && !lastReader {
		return
	}
	x.server.streamReaders.markSettled(a.stream)
	s := x.failedSettlement(a, f, lastReader)
	s.Final = final
	a.settlement = s
	if final {
		x.unfinalized = nil
		x.queueSettlement(a, s)
		return
	}
	x.unfinalized = a
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.server.opts.SettleWait)
	defer cancel()
	x.settleNow(ctx, a, s)
}

// finalizeLastFailed settles the last failed attempt again, marked as final, if the
// request ends without a further attempt. The home uses only the Final
// mark of a second settlement of a stream.
func (x *exchange) finalizeLastFailed() {
	if x.unfinalized == nil {
		return
	}
	s := x.unfinalized.settlement
	s.Final = true
	x.queueSettlement(x.unfinalized, s)
}

// closedChannel is returned by settleNow for a settlement that is durable already.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// settleNow submits a settlement once. If it is not durable afterwards, it is added to
// the outbox. The returned channel is closed when the settlement is durable.
func (x *exchange) settleNow(ctx context.Context, a *attempt, s home.SettleRequest) <-chan struct{} {
	reply, err := x.authority().Settle(ctx, s)
	if err == nil && reply.Durable {
		x.recordSettlement(a, s, "durable")
		return closedChannel
	}
	return x.queueSettlement(a, s)
}

// queueSettlement adds a settlement to the outbox. The returned channel is closed when
// the settlement is durable.
func (x *exchange) queueSettlement(a *attempt, s home.SettleRequest) <-chan struct{} {
	durable := x.server.outbox.Add(s)
	x.recordSettlement(a, s, "queued")
	return durable
}

func (x *exchange) recordSettlement(a *attempt, s home.SettleRequest, state string) {
	x.record(telemetry.Step{
		Kind: telemetry.StepSettled, Attempt: a.number, Target: a.target.ID, Stream: a.stream,
		Tokens: s.Tokens, Detail: string(s.Outcome) + ", " + state,
	})
}
