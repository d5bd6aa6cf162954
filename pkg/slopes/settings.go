package slopes

import "time"

// Settings are the sizes and durations of a run.
type Settings struct {
	Daemon       string        // path of the peppertraild binary
	FleetSizes   []int         // daemons of the idle and loaded fleets
	TargetSizes  []int         // targets polled by two daemons
	BudgetSizes  []int         // budgets held by one daemon
	StreamSizes  []int         // streams open at one daemon
	RequestSizes []int         // requests sent to one daemon
	TokenSizes   []int         // tokens per stream
	Window       time.Duration // length of one measurement
	Settle       time.Duration // wait before a measurement
	Bundles      int           // bundles per fleet size
}

// FullRun returns the settings of make slopes.
func FullRun(daemon string) Settings {
	return Settings{
		Daemon:       daemon,
		FleetSizes:   []int{4, 8, 16, 32},
		TargetSizes:  []int{25, 50, 100, 200, 400},
		BudgetSizes:  []int{500, 1000, 2000, 4000},
		StreamSizes:  []int{100, 200, 400, 800},
		RequestSizes: []int{500, 1000, 2000, 4000},
		TokenSizes:   []int{16, 32, 64, 128},
		Window:       10 * time.Second,
		Settle:       4 * time.Second,
		Bundles:      3,
	}
}

// ShortRun returns settings that only show that every measurement works.
func ShortRun(daemon string) Settings {
	return Settings{
		Daemon:       daemon,
		FleetSizes:   []int{1, 2},
		TargetSizes:  []int{2, 4},
		BudgetSizes:  []int{4, 8},
		StreamSizes:  []int{4, 8},
		RequestSizes: []int{8, 16},
		TokenSizes:   []int{4, 8},
		Window:       300 * time.Millisecond,
		Settle:       700 * time.Millisecond,
		Bundles:      1,
	}
}
