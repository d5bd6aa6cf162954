package route

import "time"

// Times of the simulated engines and their reports.
const (
	simReportInterval  = 500 * time.Millisecond // between two reports of a target
	simReportLag       = 200 * time.Millisecond // age of a report when it arrives
	simUncachedPrefill   = 400 * time.Millisecond // prompt not in the cache
	simCachedPrefill    = 50 * time.Millisecond  // prompt in the cache
	simMeanDecode    = 1800 * time.Millisecond
	simSampleInterval    = 100 * time.Millisecond // between two samples of the spread
	simDuration  = 80 * time.Second
	simWarmup    = 10 * time.Second // not measured: caches are cold
	simDefaultPriority  = 5
	simZipfSkew  = 1.1
	simCacheSize = 12 // prefixes per target
	simPrefixes  = 200
	simSeeds     = 5
)

// simConfig is one workload of the simulation.
type simConfig struct {
	desc       string
	slotCounts []int   // requests that each target runs at once
	rate       float64 // requests per second
	daemons      int     // daemons that the requests are spread over, each with its own counts
	popularShare    float64 // share of requests that have the same prefix, besides the Zipf choice
	seed       uint64
	priorities bool // priorities 0 to 9 instead of simPriority
}

// simConfigs are the measured workloads. A request takes about 2 s, so 20
// targets of capacity 8 serve about 80 requests/s.
func simConfigs() []simConfig {
	even := equalSlotCounts(20, 8)
	uneven := append(equalSlotCounts(10, 8), equalSlotCounts(10, 4)...)
	return []simConfig{
		{desc: "quiet", slotCounts: even, rate: 16, daemons: 9},
		{desc: "steady", slotCounts: even, rate: 60, daemons: 1},
		{desc: "steady", slotCounts: even, rate: 60, daemons: 9},
		{desc: "busy", slotCounts: even, rate: 72, daemons: 1},
		{desc: "busy", slotCounts: even, rate: 72, daemons: 9},
		{desc: "uneven", slotCounts: uneven, rate: 42, daemons: 9},
		{desc: "popular", slotCounts: even, rate: 60, daemons: 9, popularShare: 0.3},
		{desc: "overload", slotCounts: even, rate: 100, daemons: 9, priorities: true},
	}
}

// equalSlotCounts returns n times the same capacity.
func equalSlotCounts(n, capacity int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = capacity
	}
	return all
}
