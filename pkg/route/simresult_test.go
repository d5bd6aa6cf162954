package route

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// simResult holds the figures of one policy under one workload.
type simResult struct {
	firstTokenTimes []time.Duration    // time from the arrival to the first token of each answered request
	cacheHits       int                // answered requests whose prompt prefix was cached
	refused         [NumPriorities]int // refused requests by priority
	offered         [NumPriorities]int // all requests by priority
	loadVariations  []float64          // samples of the coefficient of variation of the load of the targets
}

// firstTokenQuantile returns the time to the first token that a share q of the answered
// requests did not exceed.
func (r *simResult) firstTokenQuantile(q float64) time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firstTokenTimes))
	return sorted[int(q*float64(len(sorted)-1))]
}

// cacheHitShare returns the share of answered requests whose prompt prefix was
// cached.
func (r *simResult) cacheHitShare() float64 {
	return float64(r.cacheHits) / float64(max(len(r.firstTokenTimes), 1))
}

// refusedShare returns the share of refused requests among the priorities from
// low to high.
func (r *simResult) refusedShare(low, high int) float64 {
	refused, offered := 0, 0
	for p := low; p <= high; p++ {
		refused += r.refused[p]
		offered += r.offered[p]
	}
	return float64(refused) / float64(max(offered, 1))
}

// meanLoadVariation returns the mean of the sampled coefficients of variation.
func (r *simResult) meanLoadVariation() float64 {
	sum := 0.0
	for _, s := range r.loadVariations {
		sum += s
	}
	return sum / float64(max(len(r.loadVariations), 1))
}

// summary formats the figures as one line.
func (r *simResult) summary(c simConfig, policy string) string {
	return fmt.Sprintf("sim %-8s views=%d policy=%-13s p50_ms=%-5d p95_ms=%-6d spread=%.2f hits=%.3f refused=%.3f refused_low=%.3f refused_high=%.3f",
		c.desc, c.daemons, policy, r.firstTokenQuantile(0.5).Milliseconds(), r.firstTokenQuantile(0.95).Milliseconds(),
		r.meanLoadVariation(), r.cacheHitShare(), r.refusedShare(0, 9), r.refusedShare(0, 2), r.refusedShare(7, 9))
}

// loadVariation returns the coefficient of variation of the load of the
// targets.
func loadVariation(targets []*simTarget) float64 {
	sum, squares := 0.0, 0.0
	for _, t := range targets {
		sum += t.load()
		squares += t.load() * t.load()
	}
	n := float64(len(targets))
	mean := sum / n
	if mean == 0 {
		return 0
	}
	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}
