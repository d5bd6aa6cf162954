package main

import (
	"context"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

// repairPageRows is the number of repair records requested per call.
const repairPageRows = 1000

func (a *app) registerRepairs() {
	group := a.addGroup("repairs", "what daemons repaired and why")
	a.addCommand(group, "list", "list repair records and the journal of one daemon", a.listRepairs)
}

func (a *app) listRepairs(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	all := admin.RepairsReply{Rows: []admin.RepairRow{}}
	for after := ""; ; {
		page, err := client.Repairs(ctx, after, repairPageRows)
		if err != nil {
			return err
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.LocalRepairs = page.LocalRepairs
		if after = page.Next; after == "" {
			break
		}
	}
	return a.printResult(all, func() {
		var rows [][]string
		for _, r := range all.Rows {
			rows = append(rows, []string{strings.TrimPrefix(r.Key, "repair/"), string(r.Value)})
		}
		for _, e := range all.LocalRepairs {
			rows = append(rows, []string{e.At.UTC().Format(time.RFC3339) + " (journal)", e.Subject + ": " + e.Text})
		}
		a.printTable([]string{"REPAIR", "RECORD"}, rows)
	})
}
