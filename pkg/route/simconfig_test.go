package route

import "time"

// Times of the simulated engines and their reports.
const (
	simInterval  = 500 * time.Millisecond // between two reports of a target
	simLag       = 200 * time.Millisecond // age of a report when it arrives
	simPrefill   = 400 * time.Millisecond // prompt not in the cache
	simCached    = 50 * time.Millisecond  // prompt in the cache
	simDecode    = 1800 * time.Millisecond
	simSample    = 100 * time.Millisecond // between two samples of the spread
	simDuration  = 80 * time.Second
	simWarmup    = 10 * time.Second // not measured: caches are cold
	simPriority  = 5
	simZipfSkew  = 1.1
	simCacheSize = 12 // prefixes per target
	simPrefixes  = 200
	simSeeds     = 5
)

// simConfig is one workload of the simulation.
type simConfig struct {
	desc       string
	capacities []int   // requests that each target runs at once
	rate       float64 // requests per second
	views      int     // daemons that the requests are spread over, each with its own counts
	popular    float64 // share of requests that have the same prefix, besides the Zipf choice
	seed       uint64
	priorities bool // priorities 0 to 9 instead of simPriority
}

// simConfigs are the measured workloads. A request takes about 2 s, so 20
// targets of capacity 8 serve about 80 requests/s.
func simConfigs() []simConfig {
	even := simCapacities(20, 8)
	uneven := append(simCapacities(10, 8), simCapacities(10, 4)...)
	return []simConfig{
		{desc: "quiet", capacities: even, rate: 16, views: 9},
		{desc: "steady", capacities: even, rate: 60, views: 1},
		{desc: "steady", capacities: even, rate: 60, views: 9},
		{desc: "busy", capacities: even, rate: 72, views: 1},
		{desc: "busy", capacities: even, rate: 72, views: 9},
		{desc: "uneven", capacities: uneven, rate: 42, views: 9},
		{desc: "popular", capacities: even, rate: 60, views: 9, popular: 0.3},
		{desc: "overload", capacities: even, rate: 100, views: 9, priorities: true},
	}
}

// simCapacities returns n times the same capacity.
func simCapacities(n, capacity int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = capacity
	}
	return all
}
