package gateway

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// reserveTimeout is the maximum duration of one reservation. It allows for the
// durable write of one claim and for a failover of the home. A caller should not wait longer for a
// refusal.
const reserveTimeout = 3 * time.Second

// reserve reserves the tokens of one attempt at target t with the home of the budget.
func (x *exchange) reserve(number int, t target.Target) (*attempt, *verdict.Error) {
	// A reservation continues after the caller disconnects, because its outcome must be
	// known to settle it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), reserveTimeout)
	defer cancel()
	incarnation := x.server.opts.Identity.Incarnation()
	reply, err := x.authority().Reserve(ctx, home.ReserveRequest{
		Customer:      x.req.customer.ID,
		Budget:        x.req.budget,
		Request:       x.req.id,
		Fingerprint:   x.req.fingerprint,
		NonIdempotent: x.req.nonIdempotent,
		Attempt:       number,
		Bound:         x.req.bound,
		Target:        t.ID,
		Entry:         incarnation,
		LostStream:    x.attachedStream,
	})
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BudgetUnreachable, "the home of budget %q cannot be reached: %v", x.req.budget, err).WithRetryAfter(defaultRetryAfter)
	}
	switch {
	case reply.Outcome == home.Refused && reply.Refusal != nil:
		return nil, reply.Refusal
	case reply.Outcome == home.Granted && reply.Stream != "":
		x.record(telemetry.Step{Kind: telemetry.StepReserved, Attempt: number, Target: t.ID, Stream: reply.Stream, Tokens: x.req.bound})
		return newAttempt(number, reply, t, incarnation), nil
	case reply.Outcome == home.Attach && reply.Stream != "":
		return x.attachment(number, reply, incarnation)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.Internal, "the home of budget %q gave an incomplete reply", x.req.budget)
}

// attachment returns the attempt that reads an existing stream. It refuses the request
// if the home returns a stream on which an earlier attempt of this request failed.
func (x *exchange) attachment(number int, reply home.ReserveReply, incarnation string) (*attempt, *verdict.Error) {
	if x.unfinalized != nil && x.unfinalized.stream == reply.Stream {
		return nil, verdict.New(verdict.NotRun, verdict.BudgetUnreachable,
			"the home of budget %q has not recorded the end of attempt %d", x.req.budget, x.unfinalized.number).WithRetryAfter(defaultRetryAfter)
	}
	x.mayHaveRun = true
	t, known := x.server.opts.Targets.Target(reply.Target)
	if !known {
		t = target.Target{ID: reply.Target}
	}
	x.record(telemetry.Step{Kind: telemetry.StepAttached, Attempt: number, Target: reply.Target, Stream: reply.Stream})
	if x.attachedStream == reply.Stream {
		return nil, x.refusal(verdict.MayHaveRun, verdict.ClaimHeld, "the request was dispatched before and its stream cannot be read")
	}
	x.attachedStream = reply.Stream
	return newAttempt(number, reply, t, incarnation), nil
}

// authority returns the authority at the current home of the request's budget.
func (x *exchange) authority() home.Authority {
	return x.server.opts.Authorities.For(x.req.customer.ID, x.req.budget)
}
