package home

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Committer submits table operations. *commit.Committer implements it.
type Committer interface {
	Submit(op commit.Op)
}

// Policies returns the grant policy of a customer, false for an unknown one.
type Policies func(customer string) (budget.Policy, bool)

// OpenAttemptsQuery asks an entry daemon how many attempts it has open on the grants of
// holder. ended means that the entry daemon's process has ended. It is called
// outside the control goroutine.
type OpenAttemptsQuery func(entry, holder string) (open int, ended bool, err error)

// Observer receives events for metrics and logs. Its methods must not block.
type Observer interface {
	// GrantOpened reports a grant whose tokens were debited from the budget.
	GrantOpened(budget string, tokens int64)
	// GrantClosed reports a closed grant and the unused tokens that it returned to
	// the budget.
	GrantClosed(budget string, returned int64)
	// LineBilled reports a durable bill line and its tokens.
	LineBilled(customer string, tokens int64)
	// RequestStopped reports a request that crashed CrashLimit targets and is
	// refused from now on.
	RequestStopped(fingerprint string, targets []string)
	// Overrun reports an attempt that used more tokens than its bound.
	Overrun(stream string, bound, reported int64)
	// AttemptExpired reports an attempt that was not settled within MaxAttempt and
	// is charged its bound in tokens.
	AttemptExpired(stream string, bound int64)
	// LateLine reports a bill line that was written after its grant was closed, and
	// its tokens.
	LateLine(grant string, tokens int64)
}

// Options configures a Local authority. Durations and limits that are zero take
// the defaults.
type Options struct {
	Holder            string // incarnation of this daemon
	Table             storage.Table
	Committer         Committer
	Policies          Policies
	Observer          Observer          // nil: events are ignored
	Now               func() time.Time  // nil: time.Now
	FlushInterval     time.Duration     // time between two submissions of queued bill lines
	ReserveWait       time.Duration     // time that a reservation waits for a grant, or for its claim to become durable
	GrantIdle         time.Duration     // time without use after which a grant is closed
	CrashLimit        int               // a request is refused after this many targets crashed while they ran it
	QueryOpenAttempts OpenAttemptsQuery // asks entry daemons about old attempts; nil: they are not asked
	MaxAttempt        time.Duration     // time after which an unsettled attempt is charged its full bound
}

// Defaults of Options.
const (
	// DefaultFlushInterval keeps table transactions at or below 0.1 per request
	// with 9 daemons and 400 requests/s; with 100 ms there were 0.14. Of the 250 ms
	// that a caller waits for a settlement, it leaves 50 ms for the commit.
	DefaultFlushInterval = 200 * time.Millisecond
	// DefaultReserveWait is below the 300 ms timeout of a call between daemons.
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
