package bench

import (
	"io"
	"time"

	"github.com/peppertrail/peppertrail/pkg/load/baseline"
)

// Options configure a measurement.
type Options struct {
	Workloads []string          // empty: all
	Policies  []baseline.Policy // empty: all
	Rate      float64           // requests per second
	Duration  time.Duration     // duration of the load of each workload; 0: the workload's default
	Daemons   int
	Engines   int
	Seed      uint64
	Dir       string    // directory in which the process logs are kept; empty: a temporary directory
	Out       io.Writer // receives one result line per workload and policy
	Log       io.Writer // receives progress messages
}

// Defaults of Options.
const (
	// DefaultRate is in requests per second; docs/BENCH.md has the measurements
	// behind it.
	DefaultRate    = 400
	DefaultDaemons = 9
	DefaultEngines = 4
	DefaultSeed    = 1
)

const (
	engineTokenMS     = 1.5 // time per token of the engines, in milliseconds
	platformLatencyMS = 1   // latency of the platform, in milliseconds
	// directRate is the rate, per second, of requests sent directly to the
	// engines. Their time to the first token is the reference for the latency
	// that the fleet adds.
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
