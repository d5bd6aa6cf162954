package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/cluster"
	"github.com/peppertrail/peppertrail/pkg/peer"
)

// pullAfter is the number of polls without a confirmation from the table after
// which a daemon asks its peers. One failed poll is not worth a question.
const pullAfter = 2

// greeter asks the peer at an address for its greeting.
type greeter func(ctx context.Context, addr string, self peer.Hello) (peer.Hello, error)

// bundlePull asks peers for a newer bundle while the table does not confirm the
// held one. Pushes do not reach a daemon that is cut off from the platform for
// longer than the holder TTL, because the others no longer see it as live; its
// own view keeps the peers that it knew.
type bundlePull struct {
	watcher *bundle.Watcher
	every   time.Duration
	peers   func() []cluster.Peer // others than this daemon
	self    func() peer.Hello
	greet   greeter
}

// run asks until ctx ends.
func (p bundlePull) run(ctx context.Context) {
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.ask(ctx)
		}
	}
}

// ask asks one random peer if the held version is unconfirmed. A peer that
// fails is not asked again sooner than the others; the next tick draws anew.
func (p bundlePull) ask(ctx context.Context) {
	if p.watcher.Unconfirmed() < pullAfter*p.every {
		return
	}
	peers := p.peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := p.greet(ctx, peers[rand.IntN(len(peers))].Addr, p.self())
	if err != nil || len(reply.Bundle) == 0 {
		return
	}
	// A bundle whose signatures do not prove its acceptance is ignored.
	_, _ = p.watcher.Offer(reply.Bundle)
}

// bundlePull returns the puller of this daemon.
func (d *Daemon) bundlePull() bundlePull {
	return bundlePull{
		watcher: d.watcher,
		every:   d.config.BundlePoll,
		peers: func() []cluster.Peer {
			s := d.session.Load()
			return others(s.view.Peers(), s.record.Incarnation)
		},
		self: d.greeting,
		greet: func(ctx context.Context, addr string, self peer.Hello) (peer.Hello, error) {
			return d.pool.Client(addr).Hello(ctx, self)
		},
	}
}
