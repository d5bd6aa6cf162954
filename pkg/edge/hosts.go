package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/relay"
)

// hostCountInterval is the time between two updates of the number of hosts.
const hostCountInterval = time.Second

// membershipPoll is the time between two looks whether the other hosts are known, at the start.
const membershipPoll = 20 * time.Millisecond

// initialHostCount is the number of hosts assumed until other hosts are known.
const initialHostCount = 12

// updateHosts periodically sets the number of hosts, by which shared limits are
// divided, and passes the peer addresses of the hosts to the gossip node. Only
// hosts that write reports to the usage table are included.
func (d *Daemon) updateHosts(ctx context.Context) {
	d.targets.SetHostCount(initialHostCount)
	for ctx.Err() == nil && !d.budgets.MembershipRead() {
		pause.For(ctx, membershipPoll)
	}
	d.updatePeers()
	var fleet fleetSize
	ticker := time.NewTicker(hostCountInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		hosts := d.budgets.Hosts()
		if hosts > 1 {
			d.targets.SetHostCount(hosts)
		}
		d.retryHostCount.Store(int64(fleet.add(hosts)))
		d.updatePeers()
	}
}

// updatePeers passes the peer addresses of the running hosts on.
func (d *Daemon) updatePeers() {
	peers := d.budgets.PeerAddrs()
	if d.gossip != nil {
		d.gossip.SetPeers(peers)
	}
	d.updateNextHops()
	if !d.rateLimits.HostsKnown() && d.budgets.Restarted() {
		d.rateLimits.Resume(peers, time.Now())
		return
	}
	d.rateLimits.SetHosts(peers, time.Now())
}

// updateNextHops passes on which hosts take requests of others.
func (d *Daemon) updateNextHops() {
	var hosts []nexthop.Host
	for name, row := range d.budgets.Peers() {
		if row.RequestAddr != "" {
			hosts = append(hosts, nexthop.Host{Name: name, Addr: row.RequestAddr})
		}
	}
	d.hosts.SetHosts(hosts)
}

// fleetSizeReadings is the number of consecutive readings of the number of hosts, one
// per hostCountInterval, of which the largest is the size of the fleet. Hosts that run
// write their rows every 4 s and read those of others every 2 s, so a host that starts
// or returns late, or whose row has expired during an outage of the store, is in one of
// the readings.
const fleetSizeReadings = 7

// fleetSize is an estimate of the number of hosts that is not too small while rows of
// running hosts are missing.
type fleetSize struct {
	readings []int
}

// add adds a reading and returns the size, 0 if it is unknown. A reading of 1 may mean
// that the rows of other hosts could not be read, so it is ignored.
func (s *fleetSize) add(hosts int) int {
	if hosts > 1 {
		s.readings = append(s.readings, hosts)
		s.readings = s.readings[max(0, len(s.readings)-fleetSizeReadings):]
	}
	if len(s.readings) < fleetSizeReadings {
		return 0
	}
	return slices.Max(s.readings)
}

// retryReserve returns this host's share of the fleet's reserve of retries, 0 while the
// number of hosts is unknown.
func (d *Daemon) retryReserve() float64 {
	hosts := d.retryHostCount.Load()
	if hosts == 0 {
		return 0
	}
	return d.settings.RetryReserve / float64(hosts)
}

// startPeerListeners starts the exchange with other hosts on the peer address:
// over UDP it sends and receives gossip about long prompts, token shortages, targets that
// leave or limit their requests, and requests and parts of prompts that crash targets; over TCP
// it serves relayed calls to the store, changes of budget shares and permits for targets.
func (d *Daemon) startPeerListeners(ctx context.Context, failed chan<- error) error {
	if d.settings.PeerListen == "" {
		return nil
	}
	handle := func(m gossip.Message) {
		d.hearConfigurationVersion(m)
		switch {
		case m.Customer != "":
			d.budgets.NoteShortage(m.Customer, m.StillLacks)
			return
		case m.CrashEvent != "":
			d.crashes.Receive(crashEvent(m), time.Now())
			return
		case m.LimitRevision > 0:
			d.rateLimits.Receive(rateLimitOf(m), time.Now())
			return
		case m.LostService != "":
			d.hosts.RecordLostPath(m.Host, m.LostService, time.Now())
			return
		case m.Leaves:
			if d.targets.RecordLeaving(m.Target, m.Born, time.Now()) {
				d.log.Info().Str("target", m.Target).Str("peer", m.Host).Msg("Target leaves, says another host. It gets no further requests.")
			}
			return
		case m.Target == "": // only tells the version of the configuration
			return
		}
		d.targets.RecordRemotePrompt(m.Host, balance.PromptUpdate{Number: m.Number, Target: m.Target, Tokens: m.Tokens}, time.Now())
	}
	node, err := gossip.Listen(d.settings.Host, d.settings.PeerListen, handle, d.logs.Logger("gossip"))
	if err != nil {
		return err
	}
	d.gossip = node
	d.targets.Announce = func(p balance.PromptUpdate) {
		node.Send(gossip.Message{Number: p.Number, Target: p.Target, Tokens: p.Tokens})
	}
	d.crashes.Announce = func(e crashes.Event) {
		if e.ForAll() {
			node.SendToAll(crashEventMessage(e))
			return
		}
		node.Send(crashEventMessage(e))
	}
	d.targets.AnnounceLeaving = func(id string, born int64) {
		node.Send(gossip.Message{Target: id, Leaves: true, Born: born})
	}
	d.rateLimits.Announce = func(l ratelimit.Limit) { node.SendToSome(rateLimitMessage(l), rateLimitFanout) }
	go node.Run(ctx)
	l, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for other hosts: %w", err)
	}
	server := relay.NewServer(d.directStore, d.logs.Logger("relay"))
	d.handlePeerCalls(server)
	go func() {
		if err := server.Serve(ctx, l); err != nil {
			failed <- err
		}
	}()
	return nil
}
