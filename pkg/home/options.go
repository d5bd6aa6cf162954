package home

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Committer accepts durable effects. *commit.Committer implements it.
type Committer interface {
	Submit(op commit.Op)
}

// Policies returns the grant policy of a customer, false for an unknown one.
type Policies func(customer string) (budget.Policy, bool)

// Entries asks an entry daemon how many attempts on the grants of this holder it
// has open. Gone means that its process has ended. It is called outside the
// control goroutine.
type Entries func(entry, holder string) (open int, gone bool, err error)

// Observer is told of decisions for metrics and logs. Its methods must not block.
type Observer interface {
	GrantOpened(budget string, tokens int64)
	GrantClosed(budget string, returned int64)
	LineBilled(customer string, tokens int64)
	RequestStopped(fingerprint string, targets []string)
	Overrun(stream string, bound, reported int64)
	AttemptExpired(stream string, bound int64)
	LateLine(grant string, tokens int64)
}

// Options sets up a Local authority. Zero durations take the defaults.
type Options struct {
	Holder        string // incarnation of this daemon
	Table         storage.Table
	Committer     Committer
	Policies      Policies
	Observer      Observer         // nil: none
	Now           func() time.Time // nil: time.Now
	FlushInterval time.Duration    // how long lines gather before a commit
	ReserveWait   time.Duration    // how long a reservation waits for a grant or a claim
	GrantIdle     time.Duration    // unused grants are closed after this
	CrashLimit    int              // targets that may die under one request
	Entries       Entries          // asks entry daemons about old attempts; nil: never
	MaxAttempt    time.Duration    // a reservation that was not settled for this long is charged its bound
}

// Defaults of Options.
const (
	// DefaultFlushInterval gathers enough lines for at most 0.1 table
	// transactions per request at 9 daemons and 400 requests/s; 100 ms cost 0.14.
	// It leaves 50 ms of the settle wait of 250 ms to the commit.
	DefaultFlushInterval = 200 * time.Millisecond
	// DefaultReserveWait stays below the 300 ms timeout of a call between daemons.
	DefaultReserveWait = 250 * time.Millisecond
	DefaultGrantIdle   = 60 * time.Second
	DefaultCrashLimit  = 2
	// DefaultMaxAttempt exceeds the request timeout of 10 min, after which no
	// entry daemon reads or settles a stream any more.
	DefaultMaxAttempt = 15 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.FlushInterval == 0 {
		o.FlushInterval = DefaultFlushInterval
	}
	if o.ReserveWait == 0 {
		o.ReserveWait = DefaultReserveWait
	}
	if o.GrantIdle == 0 {
		o.GrantIdle = DefaultGrantIdle
	}
	if o.CrashLimit == 0 {
		o.CrashLimit = DefaultCrashLimit
	}
	if o.MaxAttempt == 0 {
		o.MaxAttempt = DefaultMaxAttempt
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}

// noObserver ignores every event.
type noObserver struct{}

func (noObserver) GrantOpened(string, int64)       {}
func (noObserver) GrantClosed(string, int64)       {}
func (noObserver) LineBilled(string, int64)        {}
func (noObserver) RequestStopped(string, []string) {}
func (noObserver) Overrun(string, int64, int64)    {}
func (noObserver) AttemptExpired(string, int64)    {}
func (noObserver) LateLine(string, int64)          {}
