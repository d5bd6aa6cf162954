package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

func (a *app) registerTargets() {
	group := a.addGroup("targets", "model engines and services")
	a.addCommand(group, "list", "list targets as one daemon sees them", a.listTargets)
	var id string
	sub := a.addCommand(group, "drain", "stop new work on a target", func(ctx context.Context) error { return a.drainTarget(ctx, id) })
	sub.AddPositionalValue(&id, "target", 1, true, "id of the target")
}

func (a *app) listTargets(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.Targets(ctx)
	if err != nil {
		return err
	}
	return a.printResult(reply, func() {
		var rows [][]string
		for _, s := range reply.Targets {
			rows = append(rows, targetRow(s))
		}
		a.printTable([]string{"TARGET", "SERVICE", "KIND", "ADDRESS", "FAILURE DOMAIN", "STATE", "SINCE", "RUNNING", "WAITING", "CAPACITY", "OUTSTANDING"}, rows)
	})
}

func targetRow(s target.Status) []string {
	return []string{
		s.Target.ID,
		s.Target.Service,
		string(s.Target.Kind),
		s.Target.Addr,
		s.Target.FailureDomain,
		string(s.State),
		s.Since.UTC().Format(time.RFC3339),
		strconv.Itoa(s.Snapshot.Running),
		strconv.Itoa(s.Snapshot.Waiting),
		strconv.Itoa(s.Snapshot.Capacity),
		strconv.Itoa(s.Outstanding),
	}
}

func (a *app) drainTarget(ctx context.Context, id string) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.Drain(ctx, id)
	if err != nil {
		return err
	}
	return a.printResult(reply, func() { fmt.Fprintf(a.stdout, "target %s gets no new work\n", reply.Target) })
}
