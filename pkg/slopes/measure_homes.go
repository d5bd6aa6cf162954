package slopes

import (
	"context"
	"fmt"
	"io"
)

// homesDaemons is the number of daemons in measureHomes. The first and the last are in one region.
const homesDaemons = 3

// measureHomes measures the cost of a request separately at its entry daemon and at
// the home of its budget.
func measureHomes(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("request")
	f, err := startFleet(ctx, s.spec(fleetSpec{
		extraArgs: []string{"--homes=1"},
		daemons:   homesDaemons, targets: requestTargets, budgets: 1,
	}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return nil, err
	}
	l := newLoad(f)
	defer l.close()
	home, err := l.chooseEntry(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range s.RequestSizes {
		if err := l.measureEntryAndHome(ctx, n, home, results); err != nil {
			return nil, err
		}
	}
	return results.slopes(), nil
}

// chooseEntry makes the load send all requests to a daemon that is not the home of
// the budget, and returns the home. A daemon is not the home if requests sent to it
// cause traffic between daemons.
func (l *load) chooseEntry(ctx context.Context) (home *daemonProcess, err error) {
	first, last := l.fleet.daemons[0], l.fleet.daemons[homesDaemons-1]
	l.onlyDaemon = first
	before := l.fleet.peerBytes.Load()
	if failed, err := l.sendAll(ctx, requestWorkers, requestWorkers, requestTokens); failed > 0 {
		return nil, fmt.Errorf("%d requests failed in the warm-up: %w", failed, err)
	}
	if l.fleet.peerBytes.Load() > before {
		return last, nil
	}
	l.onlyDaemon = last
	return first, nil
}

// measureEntryAndHome sends n requests and records the cost at both daemons.
func (l *load) measureEntryAndHome(ctx context.Context, n int, home *daemonProcess, results *series) error {
	homeBefore, err := usageOf(home.cmd.Process.Pid)
	if err != nil {
		return err
	}
	entryBefore, err := usageOf(l.onlyDaemon.cmd.Process.Pid)
	if err != nil {
		return err
	}
	peersBefore := l.fleet.peerBytes.Load()
	if failed, first := l.sendAll(ctx, n, requestWorkers, requestTokens); failed > 0 {
		return fmt.Errorf("%d of %d requests failed: %w", failed, n, first)
	}
	homeAfter, err := usageOf(home.cmd.Process.Pid)
	if err != nil {
		return err
	}
	entryAfter, err := usageOf(l.onlyDaemon.cmd.Process.Pid)
	if err != nil {
		return err
	}
	size, total := float64(n), float64(l.sent.Load())
	results.add("home_cpu_seconds_per_request", size, (homeAfter.cpu - homeBefore.cpu).Seconds())
	results.add("entry_cpu_seconds_per_request", size, (entryAfter.cpu - entryBefore.cpu).Seconds())
	results.add("peer_bytes_per_request", size, float64(l.fleet.peerBytes.Load()-peersBefore))
	// Memory is recorded against all requests so far, because the home keeps them in memory.
	results.add("home_memory_bytes_per_remembered_request", total, float64(homeAfter.heap))
	results.add("entry_memory_bytes_per_remembered_request", total, float64(entryAfter.heap))
	return nil
}
