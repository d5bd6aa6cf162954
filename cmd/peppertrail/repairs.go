package main

import (
	"context"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

// repairPage is how many rows one call asks for.
const repairPage = 1000

func (a *app) registerRepairs() {
	group := a.group("repairs", "what daemons repaired and why")
	a.command(group, "list", "list repair records and the journal of one daemon", a.listRepairs)
}

func (a *app) listRepairs(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	all := admin.RepairsReply{Rows: []admin.RepairRow{}}
	for after := ""; ; {
		page, err := client.Repairs(ctx, after, repairPage)
		if err != nil {
			return err
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.LocalRepairs = page.LocalRepairs
		if after = page.Next; after == "" {
			break
		}
	}
	return a.show(all, func() {
		var rows [][]string
		for _, r := range all.Rows {
			rows = append(rows, []string{strings.TrimPrefix(r.Key, "repair/"), string(r.Value)})
		}
		for _, e := range all.LocalRepairs {
			rows = append(rows, []string{e.At.UTC().Format(time.RFC3339) + " (journal)", e.Subject + ": " + e.Text})
		}
		a.table([]string{"REPAIR", "RECORD"}, rows)
	})
}
