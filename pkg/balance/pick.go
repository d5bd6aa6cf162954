package balance

import (
	"slices"
	"time"
)

const (
	// baseFirstByteTime and firstByteTimePerToken give the expected time to the
	// first byte, to which the measured time is compared.
	baseFirstByteTime     = 80 * time.Millisecond
	firstByteTimePerToken = 10 * time.Microsecond
	// affinityLoadFactor limits affinity: a target gets a request for its affinity
	// to the shared prompt part only if its load is at most the mean load of all
	// candidates times this factor, plus affinityLoadSlack.
	affinityLoadFactor = 1.6
	// affinityLoadSlack is added to this limit, in requests. Without it, one or two
	// requests would exceed the limit while the mean load is low.
	affinityLoadSlack = 2
	// promptTokensPerRequest is the number of prompt tokens that count as one
	// request in the load.
	promptTokensPerRequest = 1000
)

// Pick chooses a target and counts the request in its load until End. Without one it
// returns an error that wraps ErrNoTarget.
func (s *Set) Pick(r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path(r.Service).usedAt = r.Now
	split := s.poolSplit(r.Service)
	split.count(&r)
	d := s.decide(split, &r)
	if !d.found {
		return nil, s.refusal(&d, &r)
	}
	a := s.startAttempt(d.chosen, &r)
	a.Load, a.Rank = d.chosen.load, d.rank
	return a, nil
}

// candidate is a target that may get a request, with its load for that request.
type candidate struct {
	*state
	requests float64 // estimated number of open requests of all hosts at the target
	prefill  int64   // prompt tokens that the target has yet to process
	slowness float64 // factor by which the target is slower than expected
	load     float64 // weighted load in requests: open requests, prompt tokens yet to be processed and this request, times the slowness of the target
	score    uint64  // rendezvous score of the target for the request's shared prompt part; random without a shared part
	// unreachable means that no connection to the target is available. Only the targets that
	// would be chosen otherwise are asked.
	unreachable bool
}

// candidates returns the targets that may get the request. These are the available
// targets of the request's pool, which rate limits may widen. If the pool has none, or is full
// and the prompt is short, they are the available targets of the service. If the service has
// none either, they include targets that are unavailable because of failures.
func (s *Set) candidates(split *poolSplit, r *Request) []candidate {
	targets := s.services[r.Service]
	pool := widenPool(split.targetsFor(targets, r), targets, r)
	all := s.filter(pool, r, (*state).available)
	if len(all) == 0 || (isFull(all) && r.PromptTokens < longPromptTokens) {
		all = s.filter(targets, r, (*state).available)
	}
	if len(all) == 0 {
		all = s.filter(targets, r, (*state).availableDespiteFailures)
	}
	return all
}

// poolSplit returns the pool split of a service.
func (s *Set) poolSplit(service string) *poolSplit {
	split := s.pools[service]
	if split == nil {
		split = newPoolSplit()
		s.pools[service] = split
	}
	return split
}

// filter returns the eligible targets as candidates. The result is valid until the next call.
func (s *Set) filter(targets []*state, r *Request, eligible func(*state, time.Time) bool) []candidate {
	all := s.candidateBuffer[:0]
	scoring := newScoring(r)
	for _, t := range targets {
		if eligible(t, r.Now) && !slices.Contains(r.Excluded, t.ID) && !t.withheld(r) {
			all = append(all, s.candidate(t, r.Now, scoring))
		}
	}
	s.candidateBuffer = all
	return all
}

func (s *Set) candidate(t *state, now time.Time, scoring scoring) candidate {
	c := candidate{state: t, requests: t.load(now, s.hostCount), prefill: t.prefillTokens(now), slowness: t.slowness(now), score: scoring.score(t.ID)}
	c.load = (c.requests + float64(c.prefill)/promptTokensPerRequest + 1) * c.slowness
	return c
}

// sharedPartID returns the ID of the last prompt part that other requests may share,
// or "" if there is none.
func sharedPartID(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// choose returns the candidate that gets the request, its rank and the limit of the load. The
// rank is its position in the descending order of rendezvous scores, from 0. It takes the first
// candidate in this order whose load does not exceed the limit given by affinityLoadFactor and
// affinityLoadSlack. If all loads exceed the limit, it returns the least loaded candidate
// and the number of candidates as the rank. If the request has no shared prompt part, it
// returns the least loaded candidate, rank 0 and no limit.
func choose(all []candidate, r *Request) (c candidate, rank int, limit float64) {
	if sharedPartID(r.Parts) == "" {
		return *leastLoaded(all), 0, 0
	}
	mean := 0.0
	for i := range all {
		mean += all[i].load
	}
	mean /= float64(len(all))
	limit = mean*affinityLoadFactor + affinityLoadSlack
	if r.light && r.RateLimited != nil {
		limit = mean
	}
	var first *candidate
	for i := range all {
		if all[i].load <= limit && (first == nil || all[i].score > first.score) {
			first = &all[i]
		}
	}
	if first == nil {
		return *leastLoaded(all), len(all), limit
	}
	for i := range all {
		if all[i].score > first.score {
			rank++
		}
	}
	return *first, rank, limit
}

func leastLoaded(all []candidate) *candidate {
	best := &all[0]
	for i := range all[1:] {
		if c := &all[i+1]; c.load < best.load || (c.load == best.load && c.score > best.score) {
			best = c
		}
	}
	return best
}

func (s *Set) startAttempt(c candidate, r *Request) *Attempt {
	s.lastAttemptNumber++
	a := &Attempt{
		number: s.lastAttemptNumber, Target: c.Target, Light: r.light, set: s, state: c.state, promptTokens: r.PromptTokens, started: r.Now,
		expectedFirstByteTime: baseFirstByteTime + time.Duration(r.PromptTokens)*firstByteTimePerToken,
	}
	c.inFlight++
	c.startedSinceReport++
	c.ownPrefillTokens += r.PromptTokens
	c.awaitingFirstByte[a] = struct{}{}
	return a
}
