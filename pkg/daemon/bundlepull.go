package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/cluster"
	"github.com/peppertrail/peppertrail/pkg/peer"
)

// unconfirmedPollsBeforePull is the number of poll intervals without a
// confirmation from the table after which a daemon asks its peers for a newer
// bundle. A single failed poll does not cause a request to a peer.
const unconfirmedPollsBeforePull = 2

// helloFunc sends the hello message own to the peer at an address and returns its reply.
type helloFunc func(ctx context.Context, addr string, own peer.Hello) (peer.Hello, error)

// bundlePull requests a newer bundle from peers while the table does not confirm
// the bundle that this daemon holds. Pushes do not reach a daemon that has lost
// its connection to the platform for longer than the holder TTL, because the
// other daemons no longer see it as live. Its own view keeps the peers that it
// saw before.
type bundlePull struct {
	watcher       *bundle.Watcher
	interval      time.Duration         // poll interval of watcher; pullIfUnconfirmed runs at the same interval
	peers         func() []cluster.Peer // excludes this daemon
	ownHello      func() peer.Hello     // returns the hello message of this daemon
	exchangeHello helloFunc
}

// run calls pullIfUnconfirmed at each interval until ctx ends.
func (p bundlePull) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.pullIfUnconfirmed(ctx)
		}
	}
}

// pullIfUnconfirmed requests the bundle from one random peer if the version that
// this daemon holds is unconfirmed. It does not retry a request that fails: the
// next interval selects a peer at random again.
func (p bundlePull) pullIfUnconfirmed(ctx context.Context) {
	if p.watcher.Unconfirmed() < unconfirmedPollsBeforePull*p.interval {
		return
	}
	peers := p.peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bundleExchangeTimeout)
	defer cancel()
	reply, err := p.exchangeHello(ctx, peers[rand.IntN(len(peers))].Addr, p.ownHello())
	if err != nil || len(reply.Bundle) == 0 {
		return
	}
	// Offer rejects a bundle without the signatures required for acceptance. The error
	// is ignored because the next interval selects a peer at random again.
	_, _ = p.watcher.Offer(reply.Bundle)
}

// newBundlePull returns the bundlePull of this daemon.
func (d *Daemon) newBundlePull() bundlePull {
	return bundlePull{
		watcher:  d.watcher,
		interval: d.config.BundlePollInterval,
		peers: func() []cluster.Peer {
			s := d.session.Load()
			return excludeSelf(s.view.Peers(), s.record.Incarnation)
		},
		ownHello: d.ownHello,
		exchangeHello: func(ctx context.Context, addr string, own peer.Hello) (peer.Hello, error) {
			return d.pool.Client(addr).Hello(ctx, own)
		},
	}
}
