package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// ErrNoTarget means that no target of the service may get the request.
var ErrNoTarget = errors.New("no target available")

const (
	// Expected time to the first byte, for the pace of targets.
	baseExpected     = 80 * time.Millisecond
	expectedPerToken = 10 * time.Microsecond
	// affinityBound is how far the load of a target with cached parts may lie
	// above the mean before another one gets the request.
	affinityBound = 1.6
	// affinitySlack is added to the bound, in requests, so that single requests
	// do not decide where there are few.
	affinitySlack = 2
	// promptWeight is the prompt tokens that count as one request in the load.
	promptWeight = 1000
)

// Pick chooses a target and counts the request against it until End.
func (s *Set) Pick(r Request) (*Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Excluded) == 0 {
		s.lane(r.Service).observe(r)
	}
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return nil, ErrNoTarget
	}
	chosen, rank := choose(candidates, r)
	a := s.start(chosen, r)
	a.Load, a.Rank = chosen.load, rank
	return a, nil
}

// candidate is an available target with its load for one request.
type candidate struct {
	*state
	requests float64 // estimated, of all hosts
	load     float64 // requests and prompts, weighted by how slow the target is
	rank     uint64  // rendezvous hash with the request's shared prompt part; random without one
}

// candidates returns the targets that may get the request: those of its lane,
// all of them if the lane has no room, and those in quarantine if there is no
// other.
func (s *Set) candidates(r Request) []candidate {
	targets := s.services[r.Service]
	lane := s.lane(r.Service).divide(targets, r)
	all := s.filter(lane, r, (*state).available)
	if len(all) == 0 || (isFull(all) && r.PromptTokens < longPrompt) {
		all = s.filter(targets, r, (*state).available)
	}
	if len(all) == 0 {
		all = s.filter(targets, r, (*state).reachable)
	}
	return all
}

// lane returns the lanes of a service.
func (s *Set) lane(service string) *lanes {
	l := s.lanes[service]
	if l == nil {
		l = newLanes()
		s.lanes[service] = l
	}
	return l
}

func (s *Set) filter(targets []*state, r Request, fits func(*state, time.Time) bool) []candidate {
	all := make([]candidate, 0, len(targets))
	for _, t := range targets {
		if fits(t, r.Now) && !slices.Contains(r.Excluded, t.ID) {
			all = append(all, s.candidate(t, r))
		}
	}
	return all
}

func (s *Set) candidate(t *state, r Request) candidate {
	requests := t.load(r.Now, s.hosts)
	load := requests + float64(t.promptTokens(r.Now))/promptWeight
	c := candidate{state: t, requests: requests, load: (load + 1) * t.slowness(r.Now), rank: rand.Uint64()}
	if key := sharedPart(r.Parts); key != "" {
		c.rank = rendezvous.Score(key, t.ID)
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
func choose(all []candidate, r Request) (c candidate, rank int) {
	if sharedPart(r.Parts) == "" {
		return least(all), 0
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
		if c.load <= mean*affinityBound+affinitySlack {
			return c, i
		}
	}
	return least(all), len(all)
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
	s.prompts++
	a := &Attempt{
		number: s.prompts, Target: c.Target, set: s, state: c.state, prompt: r.PromptTokens, started: r.Now,
		expected: baseExpected + time.Duration(r.PromptTokens)*expectedPerToken,
	}
	c.inFlight++
	c.startedSince++
	c.pendingPrompt += r.PromptTokens
	c.waiting[a] = struct{}{}
	s.tell(a, r.PromptTokens)
	return a
}
