// Package fleet runs a complete deployment on loopback as separate processes: the
// platform stand-in, engines, and daemons with a bundle and budgets.
package fleet

import "github.com/peppertrail/peppertrail/pkg/load/baseline"

// Options configure a fleet.
type Options struct {
	Policy               baseline.Policy
	Daemons              int
	Engines              int
	TokenMS              float64 // time per token of the engines, in milliseconds
	Budgets              []int64 // tokens of each customer's budget
	PartitionableDaemons int     // number of daemons, counted from the last, that can be partitioned from the rest; 0: no proxies
	LatencyMS            int     // latency of the platform, in milliseconds
	Dir                  string  // directory for the process logs
}
