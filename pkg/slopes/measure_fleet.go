package slopes

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fleetTargets is small, so that the cost of targets has little effect on the
	// slopes per daemon.
	fleetTargets   = 16
	fleetCustomers = 10
)

// measureFleet measures idle fleets of several sizes.
func measureFleet(ctx context.Context, s Settings, out io.Writer) ([]Slope, error) {
	results := newSeries("daemon")
	for _, n := range s.FleetSizes {
		if err := measureIdleFleet(ctx, s, n, results, out); err != nil {
			return nil, err
		}
	}
	return results.slopes(), nil
}

func measureIdleFleet(ctx context.Context, s Settings, n int, results *series, out io.Writer) error {
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: n, targets: fleetTargets, customers: fleetCustomers}))
	defer f.stop()
	if err != nil {
		return err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return err
	}
	w, err := f.measureUsage(ctx, s.Window)
	if err != nil {
		return err
	}
	addIdle(results, float64(n), w)
	printTableCalls(out, "idle", n, w)
	return addBundles(ctx, f, s, results)
}

// addIdle records the cost of an idle fleet of n daemons.
func addIdle(results *series, n float64, w window) {
	results.add("idle_table_reads_per_second", n, float64(sum(w.calls.Reads))/w.seconds)
	results.add("idle_table_writes_per_second", n, float64(sum(w.calls.Writes))/w.seconds)
	results.add("idle_platform_bytes_per_second_per_daemon", n, w.platformBytes/w.seconds/n)
	results.add("idle_peer_bytes_per_second_per_daemon", n, w.peerBytes/w.seconds/n)
	results.add("idle_target_bytes_per_second_per_daemon", n, w.targetBytes/w.seconds/n)
	results.add("idle_cpu_percent_per_daemon", n, percent(w)/n)
	results.add("idle_memory_mb_per_daemon", n, megabytes(w.memory)/n)
}

// addBundles records the time until a bundle is in force on all daemons, and the
// bytes that daemons exchange per bundle.
func addBundles(ctx context.Context, f *fleet, s Settings, results *series) error {
	var worst time.Duration
	before := f.peerBytes.Load()
	for range s.Bundles {
		if err := sleep(ctx, rand.N(s.Spread+1)); err != nil {
			return err
		}
		taken, err := f.newBundle(ctx)
		if err != nil {
			return err
		}
		worst = max(worst, slices.Max(taken))
	}
	if err := sleep(ctx, pushSettleTime); err != nil {
		return err
	}
	n := float64(len(f.daemons))
	results.add("bundle_in_force_everywhere_seconds", n, worst.Seconds())
	results.add("bundle_peer_bytes_per_bundle", n, float64(f.peerBytes.Load()-before)/float64(s.Bundles))
	return nil
}

// pushSettleTime is a wait after the last bundle, so that pushes that arrive after
// the bundle is in force are counted too.
const pushSettleTime = 500 * time.Millisecond

// percent returns the processor time of a window as a percentage of one core.
func percent(w window) float64 { return 100 * w.cpu.Seconds() / w.seconds }

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
