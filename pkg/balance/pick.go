package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// ErrNoTarget means that no target of the service may get the request.
var ErrNoTarget = errors.New("no target available")

const (
	// Expected time to the first byte, for the pace of targets.
	baseExpected     = 80 * time.Millisecond
	expectedPerToken = 10 * time.Microsecond
	// affinityBound is how far the load of a target with cached parts may lie
	// above the mean before another one gets the request.
	affinityBound = 1.3
	// affinitySlack is added to the bound, in requests, so that single requests
	// do not decide where there are few.
	affinitySlack = 2
	// promptWeight is the prompt tokens that count as one request in the load.
	promptWeight = 4000
)

// Pick chooses a target and counts the request against it until End.
func (s *Set) Pick(r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return nil, ErrNoTarget
	}
	chosen := choose(candidates, r)
	return s.start(chosen, r), nil
}

// candidate is an available target with its load for one request.
type candidate struct {
	*state
	load float64
	rank uint64 // rendezvous hash with the request's shared prompt part; random without one
}

func (s *Set) candidates(r Request) []candidate {
	var all []candidate
	for _, t := range s.services[r.Service] {
		if t.available(r.Now) && !slices.Contains(r.Excluded, t.ID) {
			all = append(all, s.candidate(t, r))
		}
	}
	if len(all) > 0 {
		return all
	}
	for _, t := range s.services[r.Service] {
		if t.reachable(r.Now) && !slices.Contains(r.Excluded, t.ID) {
			all = append(all, s.candidate(t, r))
		}
	}
	return all
}

func (s *Set) candidate(t *state, r Request) candidate {
	load := t.load(r.Now, s.hosts) + float64(t.pendingPrompt)/promptWeight
	c := candidate{state: t, load: (load + 1) * t.slowness(r.Now), rank: rand.Uint64()}
	if key := sharedPart(r.Parts); key != "" {
		c.rank = rendezvous(key, t.ID)
	}
	return c
}

// sharedPart returns the id of the last part that other requests share.
func sharedPart(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// choose takes the first target in the order of the shared part's hash whose
// load is within the bound, or the least loaded one if there is no shared part.
func choose(all []candidate, r Request) candidate {
	if sharedPart(r.Parts) == "" {
		return least(all)
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
	for _, c := range all {
		if c.load <= mean*affinityBound+affinitySlack {
			return c
		}
	}
	return least(all)
}

func least(all []candidate) candidate {
	best := all[0]
	for _, c := range all[1:] {
		if c.load < best.load || (c.load == best.load && c.rank > best.rank) {
			best = c
		}
	}
	return best
}

func (s *Set) start(c candidate, r Request) *Attempt {
	a := &Attempt{
		Target: c.Target, set: s, state: c.state, prompt: r.PromptTokens, started: r.Now,
		expected: baseExpected + time.Duration(r.PromptTokens)*expectedPerToken,
	}
	c.inFlight++
	c.startedSince++
	c.pendingPrompt += r.PromptTokens
	c.waiting[a] = struct{}{}
	return a
}
