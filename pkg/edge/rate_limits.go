package edge

import (
	"context"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
)

// The RPC methods that ask a host for the permit to send a request to a target with a rate
// limit, and for the limits that it knows.
const (
	methodPermit     = "targets.permit"
	methodRateLimits = "targets.limits"
)

// rateLimitFanout is the number of hosts that a host tells of a limit which is news to it. Each
// of them does the same, so that about 99 in 100 hosts hear of it; the others learn it from the
// first answer of the target.
const rateLimitFanout = 5

// rateLimitMessage returns the datagram for a limit.
func rateLimitMessage(l ratelimit.Limit) gossip.Message {
	return gossip.Message{Target: l.ID, Born: l.Born, LimitRevision: l.Revision, PerSecond: l.PerSecond, LimitEnded: l.Ended}
}

// rateLimitOf returns the limit of a datagram.
func rateLimitOf(m gossip.Message) ratelimit.Limit {
	return ratelimit.Limit{Target: ratelimit.Target{ID: m.Target, Born: m.Born}, PerSecond: m.PerSecond, Ended: m.LimitEnded, Revision: m.LimitRevision}
}

// requestPermit asks the host at addr for a permit.
func (d *Daemon) requestPermit(ctx context.Context, addr string, request ratelimit.PermitRequest) (reply ratelimit.PermitReply, err error) {
	err = d.relay.Call(ctx, addr, methodPermit, request, &reply)
	return reply, err
}

// learnRateLimits asks another host for the limits that it knows.
func (d *Daemon) learnRateLimits(ctx context.Context, peer string) {
	var limits []ratelimit.Limit
	if err := d.relay.Call(ctx, peer, methodRateLimits, struct{}{}, &limits); err != nil {
		d.log.Debug().Err(err).Str("peer", peer).Msg("Rate limits of targets could not be asked of another host. The targets name them in their answers.")
		return
	}
	for _, l := range limits {
		d.rateLimits.Receive(l, time.Now())
	}
}

// limitedTargets returns the limits of the targets that name one.
func (d *Daemon) limitedTargets() []ratelimit.Limit {
	return slices.DeleteFunc(d.rateLimits.Limits(), func(l ratelimit.Limit) bool { return l.Ended })
}
