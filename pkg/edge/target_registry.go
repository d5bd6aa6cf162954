package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

const (
	// rewriteTime is the time within which targets have written their registrations again
	// after the store has returned from an older copy. They do so within about 2 s.
	rewriteTime = 2500 * time.Millisecond
	// removedTTL is how long the removal of a registration is remembered. It is longer than
	// the store's copy may be old.
	removedTTL = 2 * time.Minute
)

// targetRegistry knows the registered targets. When the store returns from an older copy, it
// keeps what it has learned of a target until the target has written its registration again.
type targetRegistry struct {
	contents *targetContents
	log      *log.Logger

	registered map[string]balance.Target
	awaited    map[string]time.Time           // registered targets that the store's copy lacks, until when they stay
	removed    map[string]removedRegistration // targets whose registration was removed
	warmUntil  map[string]time.Time           // when targets that warm up are warm
	unwritten  map[string]struct{}            // registrations of the store's copy that count only once they are written again
}

// removedRegistration is the removal of a target's registration.
type removedRegistration struct {
	born int64 // balance.Target.Born
	at   time.Time
}

func newTargetRegistry(decode func(string, []byte) (balance.Target, error), logger *log.Logger) *targetRegistry {
	return &targetRegistry{
		contents: newTargetContents(decode), log: logger, registered: make(map[string]balance.Target),
		awaited: make(map[string]time.Time), removed: make(map[string]removedRegistration),
		unwritten: make(map[string]struct{}), warmUntil: make(map[string]time.Time),
	}
}

// apply applies changed registrations.
func (r *targetRegistry) apply(s watch.State, now time.Time) {
	for _, row := range s.Changed {
		switch {
		case row.Deleted && s.Returned:
			r.await(row.Key, now)
		case row.Deleted:
			r.remove(row.Key, now)
		default:
			r.register(row.Key, row.Value, s.Returned, now)
		}
	}
	r.expire(now)
}

// register applies a registration. If it is of the store's copy, it may be older than what is
// known: it neither brings a target back nor ends its draining.
func (r *targetRegistry) register(key string, value []byte, copied bool, now time.Time) {
	t, err := r.contents.decode(key, value)
	previous, known := r.registered[key]
	delete(r.unwritten, key)
	if err != nil {
		r.log.Error().Err(err).Str("target", key).Bool("draining", t.Draining).Msg("Target registration cannot be decoded. The previous registration stays in force, except that the target may drain.")
		if known && t.Draining {
			previous.Draining = true
			r.registered[key] = previous
		}
		return
	}
	removed, wasRemoved := r.removed[key]
	if copied && wasRemoved && removed.born == t.Born {
		r.log.Info().Str("target", key).Str("service", t.Service).Msg("Store's copy has a registration that was removed. The target stays out of use until it registers again.")
		r.unwritten[key] = struct{}{}
		return
	}
	if copied && known && previous.Born == t.Born && previous.Draining && !t.Draining {
		r.log.Info().Str("target", key).Str("service", t.Service).Msg("Store's copy has a registration that does not drain yet. The target goes on draining.")
		t.Draining = true
		r.unwritten[key] = struct{}{}
	}
	if t.WarmUp > 0 {
		r.warmUntil[key] = now.Add(t.WarmUp)
	} else {
		delete(r.warmUntil, key)
	}
	if previous.WarmUp > 0 && t.WarmUp > 0 { // which every registration of a target that warms up changes
		previous.WarmUp = t.WarmUp
	}
	if !known || previous != t {
		r.log.Info().Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Bool("draining", t.Draining).Msg("Target registered, or its registration changed.")
	}
	r.registered[key] = t
	delete(r.awaited, key)
	delete(r.removed, key)
}

// await keeps a target that the store's copy lacks until it has had time to register again.
func (r *targetRegistry) await(key string, now time.Time) {
	if t, known := r.registered[key]; known {
		r.log.Info().Str("target", key).Str("service", t.Service).Msg("Store's copy lacks the registration of a target. It stays in use until it has had time to register again.")
		r.awaited[key] = now.Add(rewriteTime)
	}
}

func (r *targetRegistry) remove(key string, now time.Time) {
	if t, known := r.registered[key]; known {
		r.log.Info().Str("target", key).Str("service", t.Service).Msg("Target deregistered.")
		r.removed[key] = removedRegistration{born: t.Born, at: now}
	}
	delete(r.registered, key)
	delete(r.awaited, key)
	delete(r.warmUntil, key)
	delete(r.unwritten, key)
}

// awaitsWrite returns the registrations that count only once they are written again, also if
// their content stays the same.
func (r *targetRegistry) awaitsWrite() []string { return slices.Collect(maps.Keys(r.unwritten)) }

// expire removes targets that have not registered again in time, and forgets old removals. It
// reports whether a target was removed.
func (r *targetRegistry) expire(now time.Time) (removed bool) {
	for key, until := range r.awaited {
		if now.After(until) {
			r.remove(key, now)
			removed = true
		}
	}
	for key, removal := range r.removed {
		if now.Sub(removal.at) > removedTTL {
			delete(r.removed, key)
		}
	}
	return removed
}

// warmUps returns the targets that warm up, with the rates that rate returns for their services.
// Targets of services without a rate are left out.
func (r *targetRegistry) warmUps(rate func(service string) float64, now time.Time) map[ratelimit.Target]ratelimit.WarmUp {
	warmUps := make(map[ratelimit.Target]ratelimit.WarmUp)
	for key, until := range r.warmUntil {
		t := r.registered[key]
		if perSecond := rate(t.Service); perSecond > 0 && now.Before(until) {
			warmUps[ratelimit.Target{ID: t.ID, Born: t.Born}] = ratelimit.WarmUp{PerSecond: perSecond, Until: until}
		}
	}
	return warmUps
}

// all returns the registered targets.
func (r *targetRegistry) all() []balance.Target {
	all := make([]balance.Target, 0, len(r.registered))
	for _, t := range r.registered {
		all = append(all, t)
	}
	return all
}
