package balance

import "time"

// Target is a replica of a service as its registration describes it.
type Target struct {
	ID            string // new with each start
	Service       string
	Addr          string // host:port, by IP number
	FailureDomain string
	Slots         int // requests that run at once; 0: unknown
	Draining      bool
}

// Load is what a target says of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Part is a part of a prompt that targets cache.
type Part struct {
	ID     string
	Tokens int64
}

// Request is what the choice of a target depends on.
type Request struct {
	Service      string
	Parts        []Part // of the prompt, in order; the last one belongs to the request or its session
	PromptTokens int64
	OutputTokens int64
	Excluded     []string // ids of targets that were tried
	Now          time.Time
}

// Outcome is how an attempt ended, as far as it tells something of the target.
type Outcome int

// Outcomes of attempts.
const (
	Served     Outcome = iota // an answer
	Rejected                  // the target has no room
	Replaced                  // another target has the address
	Failed                    // an error of the target
	Broken                    // no answer, or one that broke off
	Unreached                 // no connection
	Cancelled                 // the caller or the deadline ended it; says nothing
	NoCapacity                // the limit of connections from this host; says nothing
)
