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
	// pushFanout is how many peers are told of a new bundle. Each tells as many
	// others, so that the messages grow with the daemons, not with their square.
	pushFanout  = 4
	pushTimeout = 2 * time.Second
)

func bootstrapOperators(c config.Config) []bundle.Operator {
	operators := make([]bundle.Operator, 0, len(c.BootstrapOperator))
	for _, o := range c.BootstrapOperator {
		operators = append(operators, bundle.NewOperator(o.Name, o.PublicKey))
	}
	return operators
}

// watchBundles polls the bundle head until ctx ends.
func (d *Daemon) watchBundles(ctx context.Context) {
	err := d.watcher.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error().Err(err).Msg("Bundle watcher ended.")
	}
}

// bundleAdopted puts a new version into force.
func (d *Daemon) bundleAdopted(a bundle.Adoption) {
	d.metrics.SetBundle(d.watcher.Version(), d.watcher.Unconfirmed())
	d.noteCatchUp(a)
	d.logs.Logger("bundle").Info().Uint64("version", a.Index.Bundle.Version).Str("source", string(a.Source)).Msg("Bundle in force.")
	d.applyServices(*a.Index.Bundle)
	go d.pushBundle(a.Raw)
}

// noteCatchUp records that the daemon had missed versions or could not read
// the table. Adoptions come one at a time.
func (d *Daemon) noteCatchUp(a bundle.Adoption) {
	version := a.Index.Bundle.Version
	before := d.bundleBefore
	d.bundleBefore = version
	if before == 0 || (a.Source == bundle.FromTable && version <= before+1) {
		return
	}
	text := fmt.Sprintf("Version %d learned from the %s after version %d.", version, a.Source, before)
	d.repairs.add(telemetry.RepairBundleCaughtUp, fmt.Sprintf("v%d", version), text)
}

func (d *Daemon) bundlePolled(err error) {
	if err != nil {
		d.logs.Logger("bundle").Debug().Err(err).Msg("Bundle head not read.")
	}
}

// pushBundle tells a few random peers of a version.
func (d *Daemon) pushBundle(raw []byte) {
	s := d.session.Load()
	if s == nil {
		return
	}
	peers := others(s.view.Peers(), s.record.Incarnation)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	for _, p := range peers[:min(pushFanout, len(peers))] {
		if err := d.pool.Client(p.Addr).PushBundle(ctx, raw); err != nil {
			d.logs.Logger("bundle").Debug().Err(err).Str("peer", p.Incarnation).Msg("Push failed.")
		}
	}
}

func others(peers []cluster.Peer, self string) []cluster.Peer {
	rest := make([]cluster.Peer, 0, len(peers))
	for _, p := range peers {
		if p.Incarnation != self {
			rest = append(rest, p)
		}
	}
	return rest
}

// bundlePushed takes a version from a peer.
func (d *Daemon) bundlePushed(raw json.RawMessage) error {
	_, err := d.watcher.Offer(raw)
	return err
}

// hello answers the greeting of a peer, with the bundle if the peer's is older.
func (d *Daemon) hello(caller peer.Hello) peer.Hello {
	reply := d.greeting()
	if caller.BundleVersion < reply.BundleVersion {
		reply.Bundle = d.watcher.Raw()
	}
	return reply
}

// greeting is what this daemon tells its peers of itself.
func (d *Daemon) greeting() peer.Hello {
	return peer.Hello{Incarnation: d.Incarnation(), Host: d.config.Host, BundleVersion: d.watcher.Version()}
}
