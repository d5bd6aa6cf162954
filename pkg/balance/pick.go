package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// ErrNoTarget means that no target of the service can take the request.
var ErrNoTarget = errors.New("no target available")

const (
	// baseFirstByteTime and firstByteTimePerToken give the expected time to the
	// first byte, to which the measured time is compared.
	baseFirstByteTime     = 80 * time.Millisecond
	firstByteTimePerToken = 10 * time.Microsecond
	// affinityLoadFactor is the load of a target relative to the mean of all
	// candidates up to which it gets a request for its cached prompt parts.
	affinityLoadFactor = 1.6
	// affinityLoadSlack is added to the load limit, in requests, so that single
	// requests do not decide while there are few.
	affinityLoadSlack = 2
	// promptTokensPerRequest is the number of prompt tokens that count as one
	// request in the load.
	promptTokensPerRequest = 1000
)

// Pick chooses a target and counts the request in its load until End.
func (s *Set) Pick(r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Excluded) == 0 {
		s.poolSplit(r.Service).addWork(r)
	}
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return nil, ErrNoTarget
	}
	chosen, rank := choose(candidates, r)
	a := s.startAttempt(chosen, r)
	a.Load, a.Rank = chosen.load, rank
	return a, nil
}

// candidate is a target that may get a request, with its load for that request.
type candidate struct {
	*state
	requests float64 // estimated requests of all hosts
	load     float64 // requests and prompt tokens, multiplied by the slowness of the target
	rank     uint64  // rendezvous hash of the request's shared prompt part and the target; random without a shared part
}

// candidates returns the targets that may get the request: the available ones of
// its pool; all available ones if there is none, or if the pool is full and the
// prompt is short; quarantined ones too if no target is available.
func (s *Set) candidates(r Request) []candidate {
	targets := s.services[r.Service]
	pool := s.poolSplit(r.Service).targetsFor(targets, r)
	all := s.filter(pool, r, (*state).available)
	if len(all) == 0 || (isFull(all) && r.PromptTokens < longPromptTokens) {
		all = s.filter(targets, r, (*state).available)
	}
	if len(all) == 0 {
		all = s.filter(targets, r, (*state).reachable)
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

func (s *Set) filter(targets []*state, r Request, eligible func(*state, time.Time) bool) []candidate {
	all := make([]candidate, 0, len(targets))
	for _, t := range targets {
		if eligible(t, r.Now) && !slices.Contains(r.Excluded, t.ID) {
			all = append(all, s.candidate(t, r))
		}
	}
	return all
}

func (s *Set) candidate(t *state, r Request) candidate {
	requests := t.load(r.Now, s.hostCount)
	load := requests + float64(t.prefillTokens(r.Now))/promptTokensPerRequest
	c := candidate{state: t, requests: requests, load: (load + 1) * t.slowness(r.Now), rank: rand.Uint64()}
	if key := sharedPart(r.Parts); key != "" {
		c.rank = rendezvous.Score(key, t.ID)
	}
	return c
}

// sharedPart returns the ID of the last prompt part that other requests may share,
// or "" if there is none.
func sharedPart(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// choose returns the first target in the order of the shared part's hash whose
// load is within the limit, and its position in that order. Without a shared part
// or a target within the limit it returns the least loaded target.
func choose(all []candidate, r Request) (c candidate, rank int) {
	if sharedPart(r.Parts) == "" {
		return leastLoaded(all), 0
	}
	mean := 0.0
	for _, c := range all {
		mean += c.load
	}
	mean /= float64(len(all))
	slices.SortFunc(all, func(a, b candidate) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	for i, c := range all {
		if c.load <= mean*affinityLoadFactor+affinityLoadSlack {
			return c, i
		}
	}
	return leastLoaded(all), len(all)
}

func leastLoaded(all []candidate) candidate {
	best := all[0]
	for _, c := range all[1:] {
		if c.load < best.load || (c.load == best.load && c.rank > best.rank) {
			best = c
		}
	}
	return best
}

func (s *Set) startAttempt(c candidate, r Request) *Attempt {
	s.lastAttemptNumber++
	a := &Attempt{
		number: s.lastAttemptNumber, Target: c.Target, set: s, state: c.state, promptTokens: r.PromptTokens, started: r.Now,
		expected: baseFirstByteTime + time.Duration(r.PromptTokens)*firstByteTimePerToken,
	}
	c.inFlight++
	c.startedSinceReport++
	c.ownPrefillTokens += r.PromptTokens
	c.awaitingFirstByte[a] = struct{}{}
	s.announcePrompt(a, r.PromptTokens)
	return a
}
