package slopes

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Settings are the sizes and durations of a run.
type Settings struct {
	Daemon       string        // path of the peppertraild binary
	FleetSizes   []int         // daemons of the idle and loaded fleets
	HolderSizes  []int         // holder rows, most of them of stopped daemons
	TargetSizes  []int         // targets polled by two daemons
	BudgetSizes  []int         // budgets held by one daemon
	StreamSizes  []int         // streams open at one daemon
	RequestSizes []int         // requests sent to one daemon
	RateSizes    []int         // requests per second at one daemon
	TokenSizes   []int         // tokens per stream
	Window       time.Duration // length of one measurement
	Settle       time.Duration // wait before a measurement
	Spread       time.Duration // period over which the starts of a fleet's daemons are spread
	Bundles      int           // number of bundles measured per fleet size
	ExtraArgs    []string      // further flags of each daemon
}

// FullRun returns the settings that "make slopes" uses.
func FullRun(daemon string) Settings {
	return Settings{
		Daemon:       daemon,
		FleetSizes:   []int{4, 8, 16, 32},
		HolderSizes:  []int{200, 400, 800, 1600},
		TargetSizes:  []int{50, 100, 200, 400, 600},
		BudgetSizes:  []int{500, 1000, 2000, 4000},
		StreamSizes:  []int{100, 200, 400, 800},
		RequestSizes: []int{500, 1000, 2000, 4000},
		RateSizes:    []int{25, 50, 100, 200},
		TokenSizes:   []int{32, 64, 128, 256},
		Window:       8 * time.Second,
		Settle:       4 * time.Second,
		// Daemons that start at the same time poll the bundle head at the same
		// time, so that none of them receives a bundle from a peer.
		Spread:  bundle.DefaultPollInterval,
		Bundles: 5,
	}
}

// ShortRun returns settings that only check that every measurement works.
func ShortRun(daemon string) Settings {
	return Settings{
		Daemon:       daemon,
		FleetSizes:   []int{1, 2},
		HolderSizes:  []int{8, 16},
		TargetSizes:  []int{2, 4},
		BudgetSizes:  []int{4, 8},
		StreamSizes:  []int{4, 8},
		RequestSizes: []int{8, 16},
		RateSizes:    []int{10, 20},
		TokenSizes:   []int{4, 8},
		Window:       300 * time.Millisecond,
		Settle:       700 * time.Millisecond,
		Bundles:      1,
		ExtraArgs:    []string{"--bundle-poll=100ms"},
	}
}

// spec adds the settings to the parameters of a fleet.
func (s Settings) spec(f fleetSpec) fleetSpec {
	f.binary = s.Daemon
	f.startSpread = s.Spread
	f.extraArgs = append(f.extraArgs, s.ExtraArgs...)
	return f
}
