package slopes

import (
	"context"
	"fmt"
	"io"
)

const (
	// loadedRate and loadedBudgets are values per daemon.
	loadedRate    = 9.0 // requests per second; the design size has 3,100 for 340 daemons
	loadedBudgets = 4
	// loadedHomes sets the number of homes per region. It is below the default because
	// the measured fleets are smaller than the design size, so that the measurement
	// covers the writes of a few homes and of many other daemons.
	loadedHomes = "--homes=2"
)

// measureLoaded measures the cost of fleets of several sizes under load.
func measureLoaded(ctx context.Context, s Settings, out io.Writer) ([]Slope, error) {
	results := newSeries("daemon")
	for _, n := range s.FleetSizes {
		if err := measureLoadedFleet(ctx, s, n, results, out); err != nil {
			return nil, err
		}
	}
	return results.slopes(), nil
}

func measureLoadedFleet(ctx context.Context, s Settings, n int, results *series, out io.Writer) error {
	f, err := startFleet(ctx, s.spec(fleetSpec{
		extraArgs: []string{loadedHomes}, daemons: n,
		targets: fleetTargets, budgets: n * loadedBudgets, customers: fleetCustomers,
	}))
	defer f.stop()
	if err != nil {
		return err
	}
	l := newLoad(f)
	defer l.close()
	if err := sleep(ctx, s.Settle); err != nil {
		return err
	}
	l.sendAtRate(ctx, loadedRate*float64(n), s.Settle, requestTokens) // warm-up that opens grants and connections
	before, err := f.sample()
	if err != nil {
		return err
	}
	sent, failed := l.sendAtRate(ctx, loadedRate*float64(n), s.Window, requestTokens)
	w, err := f.usageSince(before)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "loaded daemons=%d budgets=%d sent=%d failed=%d\n", n, n*loadedBudgets, sent, failed)
	printTableCalls(out, "loaded", n, w)
	size := float64(n)
	results.add("loaded_table_reads_per_second", size, float64(sum(w.calls.Reads))/w.seconds)
	results.add("loaded_table_writes_per_second", size, float64(sum(w.calls.Writes))/w.seconds)
	results.add("loaded_peer_bytes_per_second_per_daemon", size, w.peerBytes/w.seconds/size)
	results.add("loaded_platform_bytes_per_second_per_daemon", size, w.platformBytes/w.seconds/size)
	results.add("loaded_cpu_percent_per_daemon", size, percent(w)/size)
	results.add("loaded_memory_mb_per_daemon", size, megabytes(w.memory)/size)
	return nil
}
