// Package fleet runs a whole deployment on loopback as separate processes:
// the platform stand-in, engines and daemons with a bundle and budgets.
package fleet

import "github.com/peppertrail/peppertrail/pkg/load/baseline"

// Options set up a fleet.
type Options struct {
	Policy    baseline.Policy
	Daemons   int
	Engines   int
	TokenMS   float64 // engines' time per token, milliseconds
	Budgets   []int64 // tokens of each customer's budget
	Cut       int     // the last Cut daemons can be partitioned from the rest; 0: no proxies
	LatencyMS int     // platform latency, milliseconds
	Dir       string  // private directory for logs
}
