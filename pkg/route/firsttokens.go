package route

import (
	"slices"
	"sync"
	"time"
)

// Limits of the hedging decision.
const (
	// hedgeSamples is the number of recent first-token times that count.
	hedgeSamples = 200
	// minHedgeSamples is the least number of them; the p95 of fewer is mostly chance.
	minHedgeSamples = 40
	// hedgeQuantile is the share of requests that are answered before a hedge
	// starts, so that hedges add at most about 5% of load.
	hedgeQuantile = 0.95
)

// FirstTokens keeps the recent first-token times of one service and decides
// when a request without an answer may be hedged. It is safe for concurrent use.
type FirstTokens struct {
	mu     sync.Mutex
	recent []time.Duration // ring of up to hedgeSamples
	next   int             // place of the next one
}

// Observe notes the time from dispatch to the first token of a request.
func (f *FirstTokens) Observe(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.recent) < hedgeSamples {
		f.recent = append(f.recent, d)
		return
	}
	f.recent[f.next] = d
	f.next = (f.next + 1) % hedgeSamples
}

// HedgeAfter returns the time after dispatch at which a second dispatch may
// start, the p95 of recent first-token times. It returns false if the request
// must not be hedged: it is not idempotent, a part of the answer has been
// received, or too few times are known. A hedge also needs RetryBudget.Allow.
func (f *FirstTokens) HedgeAfter(idempotent, received bool) (time.Duration, bool) {
	if !idempotent || received {
		return 0, false
	}
	f.mu.Lock()
	sorted := slices.Clone(f.recent)
	f.mu.Unlock()
	if len(sorted) < minHedgeSamples {
		return 0, false
	}
	slices.Sort(sorted)
	return sorted[int(hedgeQuantile*float64(len(sorted)-1))], true
}
