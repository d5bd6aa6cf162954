package edge

import (
	"context"
	"encoding/json"

	"github.com/peppertrail/peppertrail/pkg/sharedread"
)

// methodHostChanges is the RPC method that returns the changes of the rows by which hosts
// announce themselves.
const methodHostChanges = "hosts.changes"

// shareHostReads creates what reads the changes of the host rows, from the store or from other
// hosts.
func (d *Daemon) shareHostReads() {
	d.hostRows = sharedread.New(sharedread.Options{
		Rows: d.store, Table: d.layout.HostTable, Newest: d.store.Newest, ChangesOnly: true,
		Self:    sharedread.Host{Name: d.settings.Host, Addr: d.settings.PeerListen, FailureDomain: d.settings.FailureDomain, LinkMbps: d.settings.LinkMbps},
		Members: d.sharedReadMembers,
		Call: func(ctx context.Context, addr string, request sharedread.Request) (reply sharedread.Reply, err error) {
			err = d.relay.Call(ctx, addr, methodHostChanges, request, &reply)
			return reply, err
		},
		Content: hostRowContent, Value: func(content []byte) []byte { return content },
		Observer: d.metrics.sharedHostMetrics, Log: d.logs.Logger("hosts"),
	})
	d.metrics.sharedHostMetrics.observe(d.metrics.registry, d.hostRows)
}

// undecodableHostRow is the content of a host row that is not JSON. It is not a host row either.
var undecodableHostRow = []byte("0")

// hostRowContent returns the content of a host row: its value, as each part of it can change.
func hostRowContent(_ string, value []byte) []byte {
	if !json.Valid(value) {
		return undecodableHostRow
	}
	return value
}
