package bench

import (
	"io"
	"time"

	"github.com/peppertrail/peppertrail/pkg/load/baseline"
)

// Options set up a measurement.
type Options struct {
	Workloads []string          // empty: all
	Policies  []baseline.Policy // empty: all
	Rate      float64           // requests per second
	Duration  time.Duration     // of the load of each workload; 0: the workload's own
	Daemons   int
	Engines   int
	Seed      uint64
	Dir       string    // keeps the processes' logs here; empty: a temporary directory
	Out       io.Writer // one line per workload and policy
	Log       io.Writer // progress
}

// Defaults of Options.
const (
	// DefaultRate was chosen by measurement: see docs/BENCH.md.
	DefaultRate    = 400
	DefaultDaemons = 9
	DefaultEngines = 4
	DefaultSeed    = 1
)

const (
	engineTokenMS     = 1.5 // engines' time per token, milliseconds
	platformLatencyMS = 1   // of the platform, milliseconds
	// directRate is the rate of requests sent straight to the engines, whose
	// first tokens show what the fleet adds.
	directRate = 20
)

func (o Options) withDefaults() Options {
	if len(o.Workloads) == 0 {
		o.Workloads = Names()
	}
	if len(o.Policies) == 0 {
		o.Policies = baseline.Policies()
	}
	return o
}
