package edge

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/gossip"
)

// hostsInterval is the time between two looks at how many hosts there are.
const hostsInterval = time.Second

// initialHosts is the number of hosts that is assumed before it is known.
const initialHosts = 12

// watchHosts tells the parts that share limits with other hosts how many there
// are: those that report to the table.
func (d *Daemon) watchHosts(ctx context.Context) {
	d.targets.SetHosts(initialHosts)
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if hosts := d.budgets.Hosts(); hosts > 1 {
			d.targets.SetHosts(hosts)
		}
		if d.gossip != nil {
			d.gossip.SetPeers(d.budgets.PeerAddrs())
		}
	}
}

// startGossip tells other hosts of this host's long prompts, and hears of theirs.
func (d *Daemon) startGossip(ctx context.Context) error {
	if d.settings.PeerListen == "" {
		return nil
	}
	heard := func(m gossip.Message) {
		d.targets.Heard(m.Host, balance.Prompt{Number: m.Number, Target: m.Target, Tokens: m.Tokens}, time.Now())
	}
	node, err := gossip.Listen(d.settings.Host, d.settings.PeerListen, heard, d.logs.Logger("gossip"))
	if err != nil {
		return err
	}
	d.gossip = node
	d.targets.Announce = func(p balance.Prompt) {
		node.Send(gossip.Message{Number: p.Number, Target: p.Target, Tokens: p.Tokens})
	}
	go node.Run(ctx)
	return nil
}
