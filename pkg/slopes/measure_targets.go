package slopes

import (
	"context"
	"io"
)

// targetPollers is the number of daemons that poll the targets in measureTargets.
const targetPollers = 2

// measureTargets measures the cost of an idle daemon per target.
func measureTargets(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("target")
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: targetPollers, targets: s.TargetSizes[0]}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	for _, n := range s.TargetSizes {
		if err := f.targets.startUpTo(ctx, f.platform, n); err != nil {
			return nil, err
		}
		if err := sleep(ctx, s.Settle); err != nil {
			return nil, err
		}
		w, err := f.measureUsage(ctx, s.Window)
		if err != nil {
			return nil, err
		}
		addTargets(results, float64(n), w)
	}
	return results.slopes(), nil
}

func addTargets(results *series, n float64, w window) {
	results.add("targets_cpu_percent_per_daemon", n, percent(w)/targetPollers)
	results.add("targets_memory_mb_per_daemon", n, megabytes(w.memory)/targetPollers)
	results.add("targets_report_bytes_per_second_per_daemon", n, w.targetBytes/w.seconds/targetPollers)
	results.add("targets_platform_bytes_per_second_per_daemon", n, w.platformBytes/w.seconds/targetPollers)
	results.add("targets_peer_bytes_per_second_per_daemon", n, w.peerBytes/w.seconds/targetPollers)
}
