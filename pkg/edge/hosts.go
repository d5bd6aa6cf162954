package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/relay"
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

// startPeers tells other hosts of this host's long prompts, hears of theirs, and
// relays their calls to the store.
func (d *Daemon) startPeers(ctx context.Context, failed chan<- error) error {
	if d.settings.PeerListen == "" {
		return nil
	}
	heard := func(m gossip.Message) {
		switch {
		case m.Customer != "":
			d.budgets.NoteShortage(m.Customer)
			return
		case m.Crashed != 0:
			d.suspects.Heard(m.Crashed, m.Target, time.Now())
			return
		}
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
	d.suspects.Announce = func(fingerprint uint64, target string) {
		node.Send(gossip.Message{Crashed: fingerprint, Target: target})
	}
	go node.Run(ctx)
	l, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for other hosts: %w", err)
	}
	server := relay.NewServer(d.direct, d.logs.Logger("relay"))
	server.Handle(methodShare, d.changeShare)
	go func() {
		if err := server.Serve(ctx, l); err != nil {
			failed <- err
		}
	}()
	return nil
}

// announceLack tells other hosts that a request lacks tokens of a customer.
func (d *Daemon) announceLack(customer string) {
	if d.gossip != nil {
		d.gossip.Send(gossip.Message{Customer: customer})
	}
}

// methodShare asks another host to change a share in an account.
const methodShare = "budget.share"

// changeShare changes an account for another host.
func (d *Daemon) changeShare(ctx context.Context, params json.RawMessage) (any, error) {
	var ask escrow.ShareRequest
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, fmt.Errorf("%s: %w", methodShare, err)
	}
	return d.budgets.ChangeShare(ctx, ask)
}

// askShare asks another host to change a share of this one.
func (d *Daemon) askShare(ctx context.Context, addr string, ask escrow.ShareRequest) (answer escrow.ShareReply, err error) {
	err = d.rows.Call(ctx, addr, methodShare, ask, &answer)
	return answer, err
}
