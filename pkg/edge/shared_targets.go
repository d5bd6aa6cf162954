package edge

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/sharedread"
)

// methodTargetChanges is the RPC method that returns the changes of target registrations.
const methodTargetChanges = "targets.changes"

// shareTargetReads creates what reads the target registrations, from the store or from other
// hosts.
func (d *Daemon) shareTargetReads() {
	d.targetRegistry = newTargetRegistry(d.layout.DecodeTarget, d.log)
	d.targetRows = sharedread.New(sharedread.Options{
		Rows: d.store, Table: d.layout.TargetTable, Newest: d.store.Newest,
		Self:    sharedread.Host{Name: d.settings.Host, Addr: d.settings.PeerListen, FailureDomain: d.settings.FailureDomain, LinkMbps: d.settings.LinkMbps},
		Members: d.sharedReadMembers,
		Call: func(ctx context.Context, addr string, request sharedread.Request) (reply sharedread.Reply, err error) {
			call := d.relay.Call
			if request.Copy {
				call = d.relay.CallSeparately
			}
			err = call(ctx, addr, methodTargetChanges, request, &reply)
			return reply, err
		},
		Content: d.targetRegistry.contents.content, Value: passedOnValue, Awaits: d.targetRegistry.awaitsWrite,
		Pause: targetPollPause, Observer: d.metrics.sharedTargetMetrics, Log: d.logs.Logger("targets"),
	})
	d.metrics.sharedTargetMetrics.observe(d.metrics.registry, d.targetRows)
}

// sharedReadMembers returns the running hosts.
func (d *Daemon) sharedReadMembers() sharedread.Members {
	m := sharedread.Members{Known: d.budgets.MembershipRead(), Listed: d.budgets.Announced(), Settled: d.budgets.Restarted()}
	for name, row := range d.budgets.Peers() {
		m.Others = append(m.Others, sharedread.Host{Name: name, Addr: row.Addr, FailureDomain: row.FailureDomain, LinkMbps: row.LinkMbps})
	}
	return m
}
