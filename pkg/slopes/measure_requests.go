package slopes

import (
	"context"
	"fmt"
	"io"
)

const (
	requestWorkers = 32 // concurrent requests
	requestTokens  = 4  // length of an answer, in tokens
	requestTargets = 4  // targets of the fleet
)

// measureRequests measures the cost of one daemon per request.
func measureRequests(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("request")
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: 1, targets: requestTargets}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	l := newLoad(f)
	defer l.close()
	if err := l.warmUp(ctx, s); err != nil {
		return nil, err
	}
	for _, n := range s.RequestSizes {
		before, err := f.sample()
		if err != nil {
			return nil, err
		}
		if failed, first := l.sendAll(ctx, n, requestWorkers, requestTokens); failed > 0 {
			return nil, fmt.Errorf("%d of %d requests failed: %w", failed, n, first)
		}
		w, err := f.usageSince(before)
		if err != nil {
			return nil, err
		}
		addRequests(results, float64(n), w)
		// Memory is recorded against all requests so far, because a daemon keeps them in memory.
		results.add("memory_bytes_per_remembered_request", float64(l.sent.Load()), float64(w.heap))
	}
	return results.slopes(), nil
}

// addRequests records the total cost of n requests, so that the slope is the cost of
// one request.
func addRequests(results *series, n float64, w window) {
	results.add("cpu_seconds_per_request", n, w.cpu.Seconds())
	results.add("table_writes_per_request", n, float64(sum(w.calls.Writes)))
	results.add("table_rows_written_per_request", n, float64(sum(w.calls.Rows)))
	results.add("platform_bytes_per_request", n, w.platformBytes)
	results.add("target_bytes_per_request", n, w.targetBytes)
}

// warmUp waits until the targets are known and sends a few requests, so that
// connections are open and grants are held.
func (l *load) warmUp(ctx context.Context, s Settings) error {
	if err := sleep(ctx, s.Settle); err != nil {
		return err
	}
	if failed, first := l.sendAll(ctx, 2*requestWorkers, requestWorkers, requestTokens); failed > 0 {
		return fmt.Errorf("%d requests failed in the warm-up: %w", failed, first)
	}
	return nil
}
