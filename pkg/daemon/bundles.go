package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/cluster"
	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/peer"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

const (
	// pushFanout is the number of peers to which a daemon pushes a new bundle.
	// Each of them pushes it to the same number of peers, so that the number of
	// messages grows linearly with the number of daemons, not quadratically.
	pushFanout = 4
	// bundleExchangeTimeout is the time limit for pushing a bundle to peers or
	// pulling it from one.
	bundleExchangeTimeout = 2 * time.Second
)

func bootstrapOperators(c config.Config) []bundle.Operator {
	operators := make([]bundle.Operator, 0, len(c.BootstrapOperators))
	for _, o := range c.BootstrapOperators {
		operators = append(operators, bundle.NewOperator(o.Name, o.PublicKey))
	}
	return operators
}

// watchBundles polls the table for new bundles until ctx ends.
func (d *Daemon) watchBundles(ctx context.Context) {
	err := d.watcher.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error().Err(err).Msg("Bundle watcher stopped; the table is no longer polled for new bundles.")
	}
}

// onBundleAdopted applies a new bundle version and pushes it to peers.
func (d *Daemon) onBundleAdopted(a bundle.Adoption) {
	d.metrics.SetBundle(d.watcher.Version(), d.watcher.Unconfirmed())
	d.recordCatchUp(a)
	d.logs.Logger("bundle").Info().Uint64("version", a.Index.Bundle.Version).Str("source", string(a.Source)).Msg("Bundle in force.")
	d.applyServices(*a.Index.Bundle)
	go d.pushBundle(a.Raw)
}

// recordCatchUp records a repair if the daemon had missed versions or received
// the version from a source other than the table. The first version after the
// start is not a repair. The watcher's callbacks do not run concurrently, so
// previousBundleVersion needs no lock.
func (d *Daemon) recordCatchUp(a bundle.Adoption) {
	version := a.Index.Bundle.Version
	previous := d.previousBundleVersion
	d.previousBundleVersion = version
	if previous == 0 || (a.Source == bundle.FromTable && version <= previous+1) {
		return
	}
	text := fmt.Sprintf("Version %d learned from the %s after version %d.", version, a.Source, previous)
	d.repairs.add(telemetry.RepairBundleCaughtUp, fmt.Sprintf("v%d", version), text)
}

func (d *Daemon) onBundlePolled(err error) {
	if err != nil {
		d.logs.Logger("bundle").Debug().Err(err).Msg("Bundle poll failed; it is repeated at the next interval.")
	}
}

// pushBundle sends a bundle version to pushFanout random peers.
func (d *Daemon) pushBundle(raw []byte) {
	s := d.session.Load()
	if s == nil {
		return
	}
	peers := excludeSelf(s.view.Peers(), s.record.Incarnation)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(context.Background(), bundleExchangeTimeout)
	defer cancel()
	for _, p := range peers[:min(pushFanout, len(peers))] {
		if err := d.pool.Client(p.Addr).PushBundle(ctx, raw); err != nil {
			d.logs.Logger("bundle").Debug().Err(err).Str("peer", p.Incarnation).Msg("Failed to push the bundle to a peer; the push is not repeated.")
		}
	}
}

// excludeSelf returns the peers without the incarnation self.
func excludeSelf(peers []cluster.Peer, self string) []cluster.Peer {
	rest := make([]cluster.Peer, 0, len(peers))
	for _, p := range peers {
		if p.Incarnation != self {
			rest = append(rest, p)
		}
	}
	return rest
}

// onBundlePushed offers the watcher a bundle version that a peer has pushed.
func (d *Daemon) onBundlePushed(raw json.RawMessage) error {
	_, err := d.watcher.Offer(raw)
	return err
}

// answerHello answers the hello message of a peer. The answer includes the bundle
// if the peer holds an older version.
func (d *Daemon) answerHello(caller peer.Hello) peer.Hello {
	reply := d.ownHello()
	if caller.BundleVersion < reply.BundleVersion {
		reply.Bundle = d.watcher.Raw()
	}
	return reply
}

// ownHello returns the hello message that describes this daemon.
func (d *Daemon) ownHello() peer.Hello {
	return peer.Hello{Incarnation: d.Incarnation(), Host: d.config.Host, BundleVersion: d.watcher.Version()}
}
