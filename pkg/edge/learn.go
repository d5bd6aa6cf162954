package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/pause"
)

// methodLeaving is the RPC method that returns the targets of which a host knows that they
// leave.
const methodLeaving = "targets.leaving"

const (
	// learnPeers is the number of hosts that a new process asks what they know of targets.
	learnPeers = 3
	// learnCallTimeout bounds one such call.
	learnCallTimeout = 500 * time.Millisecond
	// learnSearchTime is how long a new process waits for hosts to ask.
	learnSearchTime = 15 * time.Second
	// learnSearchPause is the time between two looks for hosts to ask.
	learnSearchPause = 50 * time.Millisecond
	// learnReadyTimeout is how long a new process without an answer of another host is not
	// ready.
	learnReadyTimeout = 2 * time.Second
)

// learnFromPeers asks other hosts for targets that leave, rate limits of targets, and requests
// and parts of prompts that crash targets. The process that ran on this host before may have
// known of them, and the registrations of the targets may still say that they are ready.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnSearchTime)
	defer cancel()
	timeout := time.AfterFunc(learnReadyTimeout, func() { d.peersAsked.Store(true) })
	defer timeout.Stop()
	asked := make(map[string]bool)
	answers := 0
	for answers < learnPeers && ctx.Err() == nil {
		peers := d.budgets.PeerAddrs()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, peer := range peers {
			if !asked[peer] && answers < learnPeers {
				asked[peer] = true
				answers += d.learnFrom(ctx, peer)
			}
			if answers > 0 {
				d.peersAsked.Store(true)
			}
		}
		if len(peers) == 0 && d.budgets.MembershipRead() {
			d.peersAsked.Store(true)
		}
		pause.For(ctx, learnSearchPause)
	}
}

// learnFrom asks one host. It returns 1 if the host has answered, 0 otherwise.
func (d *Daemon) learnFrom(ctx context.Context, peer string) int {
	ctx, cancel := context.WithTimeout(ctx, learnCallTimeout)
	defer cancel()
	var targets []balance.LeavingTarget
	if err := d.relay.Call(ctx, peer, methodLeaving, struct{}{}, &targets); err != nil {
		d.log.Debug().Err(err).Str("peer", peer).Msg("Targets that leave could not be asked of another host. Others are asked.")
		return 0
	}
	for _, t := range targets {
		if d.targets.RecordLeaving(t.ID, t.Born, time.Now()) {
			d.log.Info().Str("target", t.ID).Str("peer", peer).Msg("Target leaves, says another host. It gets no further requests.")
		}
	}
	d.learnRateLimits(ctx, peer)
	d.learnBlocked(ctx, peer)
	return 1
}
