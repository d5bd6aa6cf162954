// Package route chooses targets from load snapshots, bounds retries and
// refuses early under overload. It does no I/O.
package route

import "time"

// Request is what the choice of a target depends on.
type Request struct {
	Service  string
	Prefix   string    // start of the prompt, for prefix affinity; empty for plain services
	Priority int       // 0 to 9, higher is more urgent
	Deadline time.Time // zero: none
	Exclude  []string  // target ids already tried
}
