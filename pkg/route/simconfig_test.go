package route

import "time"

// Parameters of the simulated engines, their reports and the workloads.
const (
	simReportInterval  = 500 * time.Millisecond  // time between two reports of a target
	simReportLag       = 200 * time.Millisecond  // age of a report when it arrives
	simUncachedPrefill = 400 * time.Millisecond  // time to the first token if the prompt prefix is not in the cache
	simCachedPrefill   = 50 * time.Millisecond   // time to the first token if the prompt prefix is in the cache
	simMeanDecode      = 1800 * time.Millisecond // mean time from the first to the last token
	simSampleInterval  = 100 * time.Millisecond  // time between two samples of the load variation
	simDuration        = 80 * time.Second        // simulated time, including the warm-up
	simWarmup          = 10 * time.Second        // excluded from the figures, since the caches are cold
	simDefaultPriority = 5                       // priority of all requests unless a workload draws them
	simZipfSkew        = 1.1                     // exponent of the Zipf distribution of the prompt prefixes
	simCacheSize       = 12                      // prompt prefixes in the cache of a target
	simPrefixes        = 200                     // number of different prompt prefixes
	simSeeds           = 5                       // seeds that BenchmarkSimulation averages over
)

// simConfig is one workload of the simulation.
type simConfig struct {
	desc         string
	slotCounts   []int   // requests that each target can run at once
	rate         float64 // requests per second of all daemons together
	daemons      int     // daemons that the requests are spread over, each with its own dispatch counts
	popularShare float64 // share of requests with the prefix "popular"; the others have a Zipf-distributed one
	seed         uint64
	priorities   bool // draw priorities 0 to 9 instead of simDefaultPriority
}

// simConfigs returns the simulated workloads. A request takes about 2 s, so 20
// targets with 8 slots serve about 80 requests/s.
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

// equalSlotCounts returns the slot counts of n equal targets.
func equalSlotCounts(n, slots int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = slots
	}
	return all
}
