package route

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// minSlowStartShare is the share of traffic at the start of slow start. It
// is above 0 so that a joining target warms up at all.
const minSlowStartShare = 0.1

// Picker is the policy in use: prefix affinity bounded by load, else the
// better of two random targets, with slow start and early refusal. It may be
// used by several goroutines if its Rand may.
type Picker struct {
	settings Settings
	services atomic.Pointer[map[string]target.ServiceInfo]
}

// NewPicker returns a picker. It knows no slow start times until SetServices.
func NewPicker(settings Settings) *Picker {
	if settings.Rand == nil {
		settings.Rand = sharedRand{}
	}
	p := &Picker{settings: settings}
	p.SetServices(nil)
	return p
}

// SetServices takes the services of the bundle in force, for their slow start
// times. The caller must not change the map afterwards.
func (p *Picker) SetServices(services map[string]target.ServiceInfo) {
	p.services.Store(&services)
}

// Pick implements Policy.
func (p *Picker) Pick(req Request, view []target.Status, now time.Time) (target.Target, *verdict.Error) {
	if !req.Deadline.IsZero() && !req.Deadline.After(now) {
		return target.Target{}, refuseExpired()
	}
	all := p.candidates(req, view, now)
	if len(all) == 0 {
		return target.Target{}, refuseNoTarget(req, p.settings.Rand)
	}
	open := p.openTo(req.Priority, all)
	if len(open) == 0 {
		return target.Target{}, refuseOverloaded(req, p.untilOpen(req.Priority, all), p.settings.Rand)
	}
	timely := p.timely(req, open, now)
	if len(timely) == 0 {
		wait := p.shortestWait(open)
		return target.Target{}, refuseDeadline(wait, wait-req.Deadline.Sub(now), p.settings.Rand)
	}
	return p.choose(req, timely).status.Target, nil
}

// candidates returns the usable targets with their slow start shares.
func (p *Picker) candidates(req Request, view []target.Status, now time.Time) []candidate {
	slowStart := (*p.services.Load())[req.Service].SlowStart
	var all []candidate
	largest := 0.0
	for i := range view {
		s := &view[i]
		if !usable(s, &req) {
			continue
		}
		share := slowStartShare(s, slowStart, now)
		largest = max(largest, share)
		all = append(all, candidate{status: s, share: share})
	}
	// If all targets are new, as after a daemon's start, they share the work evenly.
	for i := range all {
		all[i].share /= largest
	}
	return all
}

// slowStartShare returns the share of full traffic that a target takes at now.
func slowStartShare(s *target.Status, slowStart time.Duration, now time.Time) float64 {
	if s.State != target.Joining || slowStart <= 0 {
		return 1
	}
	grown := float64(now.Sub(s.Since)) / float64(slowStart)
	return min(max(grown, minSlowStartShare), 1)
}

// openTo returns the candidates whose queue is open to a priority.
func (p *Picker) openTo(priority int, all []candidate) []candidate {
	var open []candidate
	for _, c := range all {
		if c.queue() <= p.queueLimit(priority, c) {
			open = append(open, c)
		}
	}
	return open
}

// queueLimit is the longest queue at c that a priority may add to.
func (p *Picker) queueLimit(priority int, c candidate) float64 {
	return p.settings.share(priority) * p.settings.QueueFactor * c.places()
}

// untilOpen estimates the time until a queue is open to a priority.
func (p *Picker) untilOpen(priority int, all []candidate) time.Duration {
	shortest := math.Inf(1)
	for _, c := range all {
		excess := c.queue() - p.queueLimit(priority, c)
		shortest = min(shortest, excess/c.places())
	}
	return time.Duration(shortest * float64(p.settings.Occupancy))
}

// timely returns the candidates whose estimated wait ends before the deadline.
func (p *Picker) timely(req Request, open []candidate, now time.Time) []candidate {
	if req.Deadline.IsZero() {
		return open
	}
	left := req.Deadline.Sub(now)
	var timely []candidate
	for _, c := range open {
		if c.wait(p.settings.Occupancy) < left {
			timely = append(timely, c)
		}
	}
	return timely
}

// shortestWait returns the shortest estimated wait.
func (p *Picker) shortestWait(open []candidate) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, c := range open {
		shortest = min(shortest, c.wait(p.settings.Occupancy))
	}
	return shortest
}

// choose returns the target of the prefix if its load allows, else the better of two random ones.
func (p *Picker) choose(req Request, from []candidate) candidate {
	if req.Prefix != "" {
		if c, ok := p.affine(req.Prefix, from); ok {
			return c
		}
	}
	return p.betterOfTwo(from)
}

// affine returns the first target of the prefix's order whose load is within
// AffinityBound times the mean.
func (p *Picker) affine(prefix string, from []candidate) (candidate, bool) {
	bound := p.settings.AffinityBound * meanLoad(from)
	for _, c := range p.affinityOrder(prefix, from) {
		if c.load() <= bound {
			return c.candidate, true
		}
	}
	return candidate{}, false
}

// ranked is a candidate with its rank for a prefix.
type ranked struct {
	candidate
	score uint64
}

// affinityOrder returns the AffinityDepth highest ranked candidates of a prefix.
func (p *Picker) affinityOrder(prefix string, from []candidate) []ranked {
	order := make([]ranked, 0, len(from))
	for _, c := range from {
		order = append(order, ranked{candidate: c, score: affinityScore(prefix, c.status.Target.ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return order[:min(len(order), p.settings.AffinityDepth)]
}

// meanLoad returns the mean load of a non-empty list.
func meanLoad(from []candidate) float64 {
	sum := 0.0
	for _, c := range from {
		sum += c.load()
	}
	return sum / float64(len(from))
}

// betterOfTwo returns the less loaded of two random candidates.
func (p *Picker) betterOfTwo(from []candidate) candidate {
	i := p.settings.Rand.IntN(len(from))
	if len(from) == 1 {
		return from[i]
	}
	j := p.settings.Rand.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if from[j].load() < from[i].load() {
		return from[j]
	}
	return from[i]
}
