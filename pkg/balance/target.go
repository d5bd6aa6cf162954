package balance

import "time"

// Target is a replica of a service, as registered.
type Target struct {
	ID            string // mostly changes with each start of the target
	Born          int64  // start of the target in Unix milliseconds, which tells starts with the same ID apart; 0: unknown
	Service       string
	Addr          string // IP address and port
	FailureDomain string
	Slots         int // requests that run concurrently; 0: unknown
	Draining      bool
	// WarmUp is how long the target went on warming up when its registration was written; 0: it
	// is warm. Meanwhile it takes fewer requests, at a rate that its service names.
	WarmUp time.Duration
}

// Load is the load that a target reports.
type Load struct {
	Running int // requests of all hosts that the target is running
	Waiting int // requests of all hosts that wait at the target
	Slots   int // requests that run concurrently; 0: unknown
}

// Part is a part of a prompt that targets can cache.
type Part struct {
	ID     string
	Tokens int64
}

// Request holds what the choice of a target depends on.
type Request struct {
	Service      string
	Parts        []Part   // parts of the prompt, in order; the last one is specific to the request or its session
	PromptTokens int64    // 0: unknown
	OutputTokens int64    // expected length of the output
	Excluded     []string // IDs of targets that the request was already sent to
	Now          time.Time
	// RateLimited reports whether a target names a limit of its requests. Nil: none does.
	RateLimited func(Target) bool
	// ExcludeRateLimited leaves out the targets that name a limit.
	ExcludeRateLimited bool

	light bool // the result of isLight; set by Pick
	// Reachable reports whether a connection to a target is available. Nil: it always is.
	Reachable func(Target) bool
}

// Outcome is the result of an attempt, as far as it says something about the target.
type Outcome int

// Outcomes of attempts.
const (
	Served          Outcome = iota // the target answered
	Rejected                       // the target has no capacity for the request
	Replaced                       // another target is at the address
	Failed                         // the target answered with an error
	Broken                         // no answer, or the answer ended early
	Unreached                      // the request did not reach the target
	UnreachedLate                  // as Unreached, because the connection took too long
	Cancelled                      // ended by the caller or the deadline; does not count for or against the target
	ConnectionLimit                // this host has reached its limit of connections to the target; does not count for or against the target
)
