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

// minSlowStartShare is the share of normal traffic that a target receives at
// the beginning of slow start. It is above 0 because a target without requests
// would never warm up.
const minSlowStartShare = 0.1

// Picker is the policy that daemons use. It prefers the targets that rank
// highest for the prompt prefix if their load is at most the mean load times
// AffinityLoadFactor or at most AffinityLoadFloor. Otherwise it picks the less
// loaded of two random targets. It reduces the traffic of targets in slow start and
// refuses requests that would exceed a queue limit or their deadline. It is
// safe for concurrent use if its Rand is.
type Picker struct {
	settings       Settings
	executionTimes *executionTimes
	services       atomic.Pointer[map[string]target.ServiceInfo]
}

// NewPicker returns a picker. No service has a slow start until SetServices is
// called.
func NewPicker(settings Settings) *Picker {
	if settings.Rand == nil {
		settings.Rand = sharedRand{}
	}
	p := &Picker{settings: settings, executionTimes: newExecutionTimes(settings.ExecutionTime)}
	p.SetServices(nil)
	return p
}

// SetServices sets the services of the configuration bundle in force, whose slow
// start times the picker uses. The caller must not change the map afterwards.
func (p *Picker) SetServices(services map[string]target.ServiceInfo) {
	p.services.Store(&services)
}

// ObserveExecutionTime records how long a request held a slot of a target, for the
// estimate of waits. For a stream this is the time from the first to the last
// token, so that the time in the queue is not counted; for a call of a plain
// service it is the whole call.
func (p *Picker) ObserveExecutionTime(service string, d time.Duration) {
	p.executionTimes.observe(service, d)
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
	open := p.withOpenQueue(req.Priority, all)
	if len(open) == 0 {
		return target.Target{}, refuseOverloaded(req, p.timeUntilQueueOpens(req, all), p.settings.Rand)
	}
	inTime := p.withinDeadline(req, open, now)
	if len(inTime) == 0 {
		wait := p.shortestWait(req, open)
		return target.Target{}, refuseDeadline(wait, wait-req.Deadline.Sub(now), p.settings.Rand)
	}
	return p.choose(req, inTime).status.Target, nil
}

// candidates returns the usable targets with their traffic shares during slow
// start.
func (p *Picker) candidates(req Request, view []target.Status, now time.Time) []candidate {
	slowStart := (*p.services.Load())[req.Service].SlowStart
	var all []candidate
	largestShare := 0.0
	for i := range view {
		s := &view[i]
		if !usable(s, &req) {
			continue
		}
		share := slowStartShare(s, slowStart, now)
		largestShare = max(largestShare, share)
		all = append(all, candidate{status: s, trafficShare: share})
	}
	// The shares are scaled so that the largest is 1. Targets that all started
	// together, as after the start of a daemon, then have no reduced share.
	for i := range all {
		all[i].trafficShare /= largestShare
	}
	return all
}

// slowStartShare returns the share of normal traffic that a target receives at
// now.
func slowStartShare(s *target.Status, slowStart time.Duration, now time.Time) float64 {
	if s.State != target.Joining || slowStart <= 0 {
		return 1
	}
	elapsedShare := float64(now.Sub(s.Since)) / float64(slowStart)
	return min(max(elapsedShare, minSlowStartShare), 1)
}

// withOpenQueue returns the candidates whose queue accepts one more request of
// a priority.
func (p *Picker) withOpenQueue(priority int, all []candidate) []candidate {
	var open []candidate
	for _, c := range all {
		if c.queueWithNext() <= p.queueLimit(priority, c) {
			open = append(open, c)
		}
	}
	return open
}

// queueLimit returns the largest number of waiting requests, including the new
// one, up to which c accepts a request of a priority.
func (p *Picker) queueLimit(priority int, c candidate) float64 {
	return p.settings.queueShareFor(priority) * p.settings.QueueFactor * c.slots()
}

// timeUntilQueueOpens estimates the time until some candidate's queue accepts a
// request of this priority.
func (p *Picker) timeUntilQueueOpens(req Request, all []candidate) time.Duration {
	shortest := math.Inf(1)
	for _, c := range all {
		excess := c.queueWithNext() - p.queueLimit(req.Priority, c)
		shortest = min(shortest, excess/c.slots())
	}
	return time.Duration(shortest * float64(p.executionTimes.estimate(req.Service)))
}

// withinDeadline returns the candidates at which the estimated wait ends before
// the deadline.
func (p *Picker) withinDeadline(req Request, open []candidate, now time.Time) []candidate {
	if req.Deadline.IsZero() {
		return open
	}
	remaining := req.Deadline.Sub(now)
	executionTime := p.executionTimes.estimate(req.Service)
	var inTime []candidate
	for _, c := range open {
		if c.estimatedWait(executionTime) < remaining {
			inTime = append(inTime, c)
		}
	}
	return inTime
}

// shortestWait returns the shortest estimated wait of the candidates.
func (p *Picker) shortestWait(req Request, open []candidate) time.Duration {
	executionTime := p.executionTimes.estimate(req.Service)
	shortest := time.Duration(math.MaxInt64)
	for _, c := range open {
		shortest = min(shortest, c.estimatedWait(executionTime))
	}
	return shortest
}

// choose returns the candidate that pickByAffinity finds for the prompt prefix.
// If there is none or the prefix is empty, it returns the less loaded of two
// random candidates.
func (p *Picker) choose(req Request, candidates []candidate) candidate {
	if req.Prefix != "" {
		if c, ok := p.pickByAffinity(req.Prefix, candidates); ok {
			return c
		}
	}
	return p.lessLoadedOfTwo(candidates)
}

// pickByAffinity returns the highest ranked target of the prefix whose load is
// at most AffinityLoadFactor times the mean load, or at most AffinityLoadFloor
// if that is larger. It considers the AffinityCandidates highest ranked targets
// and returns false if the load of each is above the limit.
func (p *Picker) pickByAffinity(prefix string, candidates []candidate) (candidate, bool) {
	bound := max(p.settings.AffinityLoadFactor*meanLoadWithNext(candidates), p.settings.AffinityLoadFloor)
	for _, c := range p.affinityOrder(prefix, candidates) {
		if c.loadWithNext() <= bound {
			return c.candidate, true
		}
	}
	return candidate{}, false
}

// rankedCandidate is a candidate with its rendezvous score for a prompt prefix.
type rankedCandidate struct {
	candidate
	score uint64
}

// affinityOrder returns the AffinityCandidates highest ranked candidates of a
// prefix, the highest first.
func (p *Picker) affinityOrder(prefix string, candidates []candidate) []rankedCandidate {
	order := make([]rankedCandidate, 0, len(candidates))
	for _, c := range candidates {
		order = append(order, rankedCandidate{candidate: c, score: affinityScore(prefix, c.status.Target.ID)})
	}
	slices.SortFunc(order, func(a, b rankedCandidate) int { return cmp.Compare(b.score, a.score) })
	return order[:min(len(order), p.settings.AffinityCandidates)]
}

// meanLoadWithNext returns the mean of loadWithNext over a non-empty list.
func meanLoadWithNext(candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.loadWithNext()
	}
	return sum / float64(len(candidates))
}

// lessLoadedOfTwo returns the less loaded of two random candidates.
func (p *Picker) lessLoadedOfTwo(candidates []candidate) candidate {
	i := p.settings.Rand.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[i]
	}
	j := p.settings.Rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].loadWithNext() < candidates[i].loadWithNext() {
		return candidates[j]
	}
	return candidates[i]
}
