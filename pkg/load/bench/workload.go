// Package bench measures how budget policies behave under workloads with faults
// and prints one line per workload and policy.
package bench

import (
	"context"
	"fmt"
	"time"
)

// largeBudgetPeriod is the period of traffic that large budgets cover. It is several
// times the longest run plus the longest grant cover, so that no budget is
// exhausted.
const largeBudgetPeriod = 600 * time.Second

// event is a fault or an operator action that happens once during the load.
type event struct {
	at   time.Duration // from the start of the load
	name string
	do   func(ctx context.Context, r *run) error
}

// workload is one experiment. Its times apply to the default duration.
type workload struct {
	name            string
	duration        time.Duration
	budgetPeriod    time.Duration // period of traffic that the initial budget covers
	onlyCustomer    int           // customer that sends all requests; -1: all customers send
	partitionable   int           // number of daemons that can be partitioned from the rest
	evaluationDelay time.Duration // wait between the end of the load and the evaluation
	events          []event
}

const (
	// quietPeriod lets the last bill lines become durable before writes are counted.
	quietPeriod = 2 * time.Second
	// repairPeriod is the wait after the load in the workload daemon_killed. The time
	// from the kill to the end of this wait exceeds the holder time to live of 15 s, so
	// that the grants of the killed daemon are closed before stranded tokens are counted.
	repairPeriod         = 12 * time.Second
	killedDaemon         = 2
	partitionableDaemons = 3
)

// workloads returns all workloads in the order of the report.
func workloads() []workload {
	return []workload{
		{name: "steady", duration: 12 * time.Second, budgetPeriod: largeBudgetPeriod, onlyCustomer: -1, evaluationDelay: quietPeriod},
		{name: "daemon_killed", duration: 24 * time.Second, budgetPeriod: largeBudgetPeriod, onlyCustomer: -1, evaluationDelay: repairPeriod, events: []event{
			{8 * time.Second, "kill one daemon", func(_ context.Context, r *run) error { r.kill(killedDaemon); return nil }},
			{13 * time.Second, "restart the killed daemon", func(_ context.Context, r *run) error { return r.restart(killedDaemon) }},
		}},
		{name: "store_down", duration: 78 * time.Second, budgetPeriod: largeBudgetPeriod, onlyCustomer: -1, evaluationDelay: quietPeriod, events: []event{
			{14 * time.Second, "start the outage of the store", func(ctx context.Context, r *run) error { return r.fleet.SetStoreDown(ctx, true) }},
			{74 * time.Second, "end the outage of the store", func(ctx context.Context, r *run) error { return r.fleet.SetStoreDown(ctx, false) }},
		}},
		{name: "partition_topup", duration: 20 * time.Second, budgetPeriod: 12 * time.Second, onlyCustomer: -1, partitionable: partitionableDaemons, evaluationDelay: quietPeriod, events: []event{
			{6 * time.Second, "partition", func(_ context.Context, r *run) error { r.fleet.SetPartitioned(true); return nil }},
			{9 * time.Second, "top up all budgets", func(ctx context.Context, r *run) error { return r.topUpAll(ctx, largeBudgetPeriod) }},
			{16 * time.Second, "end the partition", func(_ context.Context, r *run) error { r.fleet.SetPartitioned(false); return nil }},
		}},
		{name: "nearly_used", duration: 10 * time.Second, budgetPeriod: 7 * time.Second, onlyCustomer: 0, evaluationDelay: quietPeriod},
	}
}

// Names returns the names of all workloads.
func Names() []string {
	var names []string
	for _, w := range workloads() {
		names = append(names, w.name)
	}
	return names
}

// findWorkload returns a workload, scaled to duration unless that is 0.
func findWorkload(name string, duration time.Duration) (workload, error) {
	for _, w := range workloads() {
		if w.name == name {
			return w.scaled(duration), nil
		}
	}
	return workload{}, fmt.Errorf("workload %q: allowed: %v", name, Names())
}

func (w workload) scaled(duration time.Duration) workload {
	if duration == 0 {
		return w
	}
	factor := float64(duration) / float64(w.duration)
	if w.budgetPeriod != largeBudgetPeriod {
		w.budgetPeriod = time.Duration(float64(w.budgetPeriod) * factor)
	}
	for i := range w.events {
		w.events[i].at = time.Duration(float64(w.events[i].at) * factor)
	}
	w.duration = duration
	return w
}
