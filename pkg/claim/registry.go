package claim

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// retention is how long a request stays in the registry after its last
	// attempt ended. Durable claims of non-idempotent requests stay in the table
	// for longer.
	retention = 10 * time.Minute
	// claimingRetry is the time after which a caller may retry a request whose
	// claim is being written.
	claimingRetry = time.Second
)

// Registry holds the requests of one home daemon, which authorizes the spending
// from a budget and recognizes repeated requests.
//
// It is not safe for concurrent use; one goroutine owns it.
type Registry struct {
	crashLimit int
	entries    map[string]*Entry   // by entryKey
	streams    map[string]*Entry   // by stream id of the last attempt
	crashes    map[string][]string // distinct ids of targets that crashed, by request fingerprint
}

// NewRegistry returns an empty registry. A request is refused once crashLimit
// distinct targets have crashed while they ran it.
func NewRegistry(crashLimit int) *Registry {
	return &Registry{
		crashLimit: crashLimit,
		entries:    make(map[string]*Entry),
		streams:    make(map[string]*Entry),
		crashes:    make(map[string][]string),
	}
}

// Decide returns whether an attempt may run, attaches to a stream or is refused.
func (r *Registry) Decide(a Attempt) Decision {
	if n := len(r.crashes[a.Fingerprint]); n >= r.crashLimit {
		return refuse(verdict.MayHaveRun, verdict.RequestCrashesTargets, "%d targets died while they ran this request; it is not tried again", n)
	}
	e, ok := r.entries[entryKey(a.Customer, a.Request)]
	if !ok {
		return run()
	}
	if e.Fingerprint != a.Fingerprint {
		return refuse(verdict.NotRun, verdict.KeyReused, "the idempotency key %q was used with another body; use a new key", a.Request)
	}
	if e.NonIdempotent || a.NonIdempotent {
		return decideNonIdempotent(e, a)
	}
	return decideIdempotent(e, a)
}

// decideIdempotent decides about an attempt of a request that may run more than
// once. It attaches to an existing stream where possible.
func decideIdempotent(e *Entry, a Attempt) Decision {
	if a.LostStream != "" && a.LostStream == e.Stream {
		return run()
	}
	switch e.State {
	case Running:
		if e.Daemon == a.Daemon && a.Number > 1 {
			return run() // the entry daemon has abandoned the stream of its earlier attempt
		}
		return attach(e)
	case Finished:
		return attach(e)
	default:
		return run()
	}
}

// decideNonIdempotent decides about an attempt of a request that runs at most once.
func decideNonIdempotent(e *Entry, a Attempt) Decision {
	lost := a.LostStream != "" && a.LostStream == e.Stream
	switch {
	case e.State == Released:
		return run()
	case e.State == Claiming:
		d := refuse(verdict.MayHaveRun, verdict.ClaimHeld, "the same request is being dispatched by another daemon")
		d.Refusal = d.Refusal.WithRetryAfter(claimingRetry)
		return d
	case e.State == Finished && lost:
		return refuse(verdict.Ran, verdict.ClaimHeld, "the request ran, its target no longer keeps the answer; it is not run again")
	case e.State == Failed, lost:
		return refuse(verdict.MayHaveRun, verdict.ClaimHeld, "the request was dispatched and may have run; it is not run again")
	case e.Daemon == a.Daemon && a.Number > 1:
		return refuse(verdict.MayHaveRun, verdict.ClaimHeld, "an earlier attempt may have run; it is not run again")
	default:
		return attach(e)
	}
}

// Begin records an attempt of a request, with its stream id and state, in place
// of the previous attempt.
func (r *Registry) Begin(now time.Time, a Attempt, stream string, state State) *Entry {
	e, ok := r.entries[entryKey(a.Customer, a.Request)]
	if !ok {
		e = &Entry{Customer: a.Customer, Request: a.Request, Fingerprint: a.Fingerprint}
		r.entries[e.key()] = e
	}
	delete(r.streams, e.Stream)
	e.Daemon = a.Daemon
	e.Target = a.Target
	e.Stream = stream
	e.NonIdempotent = e.NonIdempotent || a.NonIdempotent
	e.State = state
	e.Updated = now
	r.streams[stream] = e
	return e
}

// AddClaim adds a request from a durable claim that another home daemon wrote.
// version is the version of the claim row.
func (r *Registry) AddClaim(now time.Time, record Record, version uint64) *Entry {
	a := Attempt{
		Customer:      record.Customer,
		Request:       record.Request,
		Fingerprint:   record.Fingerprint,
		Daemon:        record.Entry,
		Target:        record.Target,
		NonIdempotent: true,
	}
	e := r.Begin(now, a, record.Stream, Running)
	e.Fingerprint = record.Fingerprint
	e.ClaimVersion = version
	return e
}

// Find returns the entry of a request.
func (r *Registry) Find(customer, request string) (*Entry, bool) {
	e, ok := r.entries[entryKey(customer, request)]
	return e, ok
}

// FindByStream returns the entry whose last attempt has this stream id.
func (r *Registry) FindByStream(stream string) (*Entry, bool) {
	e, ok := r.streams[stream]
	return e, ok
}

// SetState sets the state of the request whose last attempt has this stream id. It
// does nothing if the request is finished or has a later attempt.
func (r *Registry) SetState(now time.Time, stream string, state State) {
	e, ok := r.streams[stream]
	if !ok || e.State == Finished {
		return
	}
	e.State = state
	e.Updated = now
}

// Remove removes a request.
func (r *Registry) Remove(customer, request string) {
	e, ok := r.entries[entryKey(customer, request)]
	if !ok {
		return
	}
	delete(r.entries, e.key())
	delete(r.streams, e.Stream)
}

// RecordCrash records a target that crashed while it ran a request. It returns the
// distinct targets recorded so far and whether this one was new.
func (r *Registry) RecordCrash(fingerprint, target string) ([]string, bool) {
	seen := r.crashes[fingerprint]
	if slices.Contains(seen, target) {
		return seen, false
	}
	r.crashes[fingerprint] = append(seen, target)
	return r.crashes[fingerprint], true
}

// Sweep removes the requests whose last attempt ended more than the retention
// ago and returns their entries.
func (r *Registry) Sweep(now time.Time) []Entry {
	var expired []Entry
	for _, e := range r.entries {
		ended := e.State != Running && e.State != Claiming
		if ended && now.Sub(e.Updated) > retention {
			expired = append(expired, *e)
		}
	}
	for _, e := range expired {
		r.Remove(e.Customer, e.Request)
	}
	return expired
}

// Len returns the number of requests in the registry.
func (r *Registry) Len() int {
	return len(r.entries)
}

// Entries calls f for each request until f returns false.
func (r *Registry) Entries(f func(Entry) bool) {
	for _, e := range r.entries {
		if !f(*e) {
			return
		}
	}
}
