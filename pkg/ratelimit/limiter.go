package ratelimit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Options are the settings and dependencies of a Limiter.
type Options struct {
	Self string // address of this host
	// Ask asks the host at an address for a permit.
	Ask func(ctx context.Context, issuer string, r PermitRequest) (PermitReply, error)
	// Announce tells some other hosts of a limit. It must not block.
	Announce func(Limit)
	// CountPermit counts the results of Acquire for metrics. Nil: they are not counted.
	CountPermit func(Result)
	Log         *log.Logger
}

// Limiter knows the limits of targets, gets permits for the requests of this host and issues
// permits to others. It is safe for concurrent use.
type Limiter struct {
	Options
	mu      sync.Mutex
	limits  table
	views   views
	warmUps map[Target]WarmUp
	buckets map[Target]*bucket
	denials denials

	limited atomic.Pointer[map[Target]float64] // result of Limited
}

// New returns a limiter that knows no limits and no hosts.
func New(o Options) *Limiter {
	if o.CountPermit == nil {
		o.CountPermit = func(Result) {}
	}
	l := &Limiter{Options: o, limits: make(table), buckets: make(map[Target]*bucket), denials: newDenials()}
	l.updateLimited(time.Time{})
	return l
}

// HostsKnown reports whether SetHosts was called.
func (l *Limiter) HostsKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.views) > 0
}

// Resume makes this host issue permits without issuerDelay, as the other hosts have counted it
// as running before its process started. It must be called before the first SetHosts.
func (l *Limiter) Resume(others []string, now time.Time) { l.SetHosts(others, now.Add(-issuerDelay)) }

// SetHosts sets the addresses of the other running hosts.
func (l *Limiter) SetHosts(others []string, now time.Time) {
	hosts := append(slices.Clone(others), l.Self)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.views.set(hosts, now)
	l.limits.prune(now)
	l.updateLimited(now)
	l.denials.retain(hosts)
	for t := range l.buckets {
		if _, limited := l.limitOf(t, now); !limited || !slices.Contains(l.views.issuersOf(t), l.Self) {
			delete(l.buckets, t)
		}
	}
}

// Observe records what the answer of a target says: the rate that it takes, if it names one.
// sentAt is when the request was sent.
func (l *Limiter) Observe(t Target, perSecond float64, named bool, sentAt, now time.Time) {
	l.record("its answer", now, func() (Limit, bool) { return l.limits.observe(t, perSecond, named, sentAt, now) })
}

// Receive records what another host says of a target, and passes it on if it is news.
func (l *Limiter) Receive(limit Limit, now time.Time) {
	l.record("another host", now, func() (Limit, bool) { return limit, l.limits.receive(limit, now) })
}

// record calls change, which reports whether it has changed a limit, with the mutex held. It logs
// and announces the change.
func (l *Limiter) record(source string, now time.Time, change func() (Limit, bool)) {
	l.mu.Lock()
	limit, changed := change()
	announce := changed && l.limits.announce(limit.Target, now)
	if changed {
		l.updateLimited(now)
	}
	l.mu.Unlock()
	if changed {
		l.logChange(limit, source)
	}
	if announce && l.Announce != nil {
		l.Announce(limit)
	}
}

func (l *Limiter) logChange(limit Limit, source string) {
	line := l.Log.Info().Str("target", limit.ID).Uint64("revision", limit.Revision).Str("source", source)
	if limit.Ended {
		line.Msg("Target names no limit of its requests any longer.")
		return
	}
	line.Float64("per_second", limit.PerSecond).Msg("Target names a limit of its requests.")
}

// Limits returns the limits that this host knows, including those that have ended.
func (l *Limiter) Limits() []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Limit, 0, len(l.limits))
	for _, e := range l.limits {
		all = append(all, e.Limit)
	}
	slices.SortFunc(all, func(a, b Limit) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Limited returns the rates of the targets that name one, in requests per second. The map must
// not be changed.
func (l *Limiter) Limited() map[Target]float64 { return *l.limited.Load() }

// updateLimited renews the result of Limited. The caller holds the mutex.
func (l *Limiter) updateLimited(now time.Time) {
	limited := make(map[Target]float64)
	for t, e := range l.limits {
		if !e.Ended {
			limited[t] = e.PerSecond
		}
	}
	for t := range l.warmUps {
		if limit, isLimited := l.limitOf(t, now); isLimited {
			limited[t] = limit.PerSecond
		}
	}
	l.limited.Store(&limited)
}
