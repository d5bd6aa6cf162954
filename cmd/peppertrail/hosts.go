package main

import (
	"context"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

func (a *app) registerHosts() {
	group := a.addGroup("hosts", "daemons")
	a.addCommand(group, "list", "list the holder row of each daemon", a.listHosts)
}

func (a *app) listHosts(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	a.warnUnreadable(reply.Unreadable)
	return a.printResult(reply, func() { a.printHolders(reply.Holders) })
}

func (a *app) printHolders(holders []admin.HolderStatus) {
	var rows [][]string
	for _, h := range holders {
		rows = append(rows, []string{
			h.Host,
			h.Incarnation,
			h.Region,
			h.FailureDomain,
			h.PeerAddr,
			strconv.FormatUint(h.BundleVersion, 10),
			holderState(h),
		})
	}
	a.printTable([]string{"HOST", "INCARNATION", "REGION", "FAILURE DOMAIN", "PEER ADDRESS", "BUNDLE", "STATE"}, rows)
}

func holderState(h admin.HolderStatus) string {
	switch {
	case h.Fenced:
		return "fenced"
	case h.Stopped:
		return "stopped"
	case h.Live:
		return "live"
	default:
		return "not seen"
	}
}
