// Package route chooses targets from load snapshots, limits retries, and
// refuses requests early under overload. It does no I/O.
package route

import "time"

// Request holds the properties of a request on which the choice of a target
// depends.
type Request struct {
	Service  string
	Prefix   string    // start of the prompt, for cache affinity; empty for plain services
	Priority int       // 0 to 9; 9 is the most urgent
	Deadline time.Time // zero: no deadline
	Exclude  []string  // ids of targets that must not be picked, such as those already tried
}
