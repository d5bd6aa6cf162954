package balance

import (
	"cmp"
	"slices"
)

// Placement says which target a request would get, and why.
type Placement struct {
	Service string `json:"service"`
	Target  string `json:"target,omitempty"` // ID of the target; "": the request would be refused
	// Equal names the targets, including Target, of which the request gets one at random. It is
	// empty if there is no other than Target.
	Equal []string `json:"equal,omitempty"`
	Rank  int      `json:"rank"` // Attempt.Rank
	// Reason is why the target is chosen: ByAffinity, ByLoad or ByLoadAboveLimit.
	Reason string `json:"reason,omitempty"`
	// LoadLimit is the load up to which a target is chosen for its affinity to the shared prompt
	// part, by the mean load of the candidates to which a connection is available; 0: the request
	// has no shared part.
	LoadLimit  float64             `json:"load_limit,omitempty"`
	Error      string              `json:"error,omitempty"` // of a request without a target
	Candidates []PlacementTarget   `json:"candidates"`      // in the order of the shared prompt part, by load without one
	Excluded   []PlacementExcluded `json:"excluded,omitempty"`

	// Err is the error that Pick would return.
	Err error `json:"-"`
}

// Reasons for which a target is chosen.
const (
	ByAffinity       = "first in the order of the shared part with a load within the limit"
	ByLoad           = "least load, no shared part"
	ByLoadAboveLimit = "least load, all above the limit"
)

// PlacementTarget is a target that might get the request, with what the choice compares.
type PlacementTarget struct {
	ID            string  `json:"id"`
	Order         int     `json:"order"`          // position in the order of the shared prompt part, from 0; 0 without a shared part
	Load          float64 `json:"load"`           // (requests + prompt tokens / 1,000 + 1) × slowness
	Requests      float64 `json:"requests"`       // estimated open requests of all hosts
	PrefillTokens int64   `json:"prefill_tokens"` // prompt tokens that the target has yet to process, as far as this host knows
	Slowness      float64 `json:"slowness"`       // factor by which the target is slower than expected
	InFlight      int     `json:"in_flight"`      // open requests of this host
	Slots         int     `json:"slots"`          // requests that run concurrently; 0: unknown
	Reachable     bool    `json:"reachable"`      // a connection is available
	NeedsPermit   bool    `json:"needs_permit,omitempty"`
}

// PlacementExcluded is a target of the service that is no candidate.
type PlacementExcluded struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

const (
	// otherPoolReason is why a target is no candidate that is available but not in the
	// request's pool.
	otherPoolReason = "in the pool for other prompt lengths"
	// triedReason is why a target gets no request that it was sent before.
	triedReason = "tried before"
)

// Explain returns the target that Pick would choose now, and why. Nothing is counted or sent, and no
// state changes.
func (s *Set) Explain(r Request) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	split := newPoolSplit()
	if known := s.pools[r.Service]; known != nil {
		*split = *known
	}
	split.count(&r)
	d := s.decide(split, &r)
	p := Placement{Service: r.Service, LoadLimit: d.limit}
	p.addCandidates(&d, &r)
	p.addExcluded(s.services[r.Service], &d, &r)
	if !d.found {
		p.Err = s.refusal(&d, &r)
		p.Error = p.Err.Error()
		return p
	}
	p.Target, p.Rank = d.chosen.ID, d.rank
	switch {
	case d.limit == 0:
		p.Reason = ByLoad
		p.addEqual(d.chosen.load)
	case d.chosen.load <= d.limit:
		p.Reason = ByAffinity
	default:
		p.Reason = ByLoadAboveLimit
	}
	return p
}

func (p *Placement) addCandidates(d *decision, r *Request) {
	slices.SortFunc(d.candidates, func(a, b candidate) int {
		if d.limit == 0 {
			return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.ID, b.ID))
		}
		return cmp.Compare(b.score, a.score)
	})
	for i, c := range d.candidates {
		t := PlacementTarget{
			ID: c.ID, Load: c.load, Requests: c.requests, PrefillTokens: c.prefill, Slowness: c.slowness, InFlight: c.inFlight, Slots: c.Slots,
			Reachable: d.reachable(c, r), NeedsPermit: r.rateLimited(c.state),
		}
		if d.limit != 0 {
			t.Order = i
		}
		p.Candidates = append(p.Candidates, t)
	}
}

// reachable reports whether a connection to a candidate is available. The answer on which the
// choice depends is not asked for again, as it may have changed.
func (d *decision) reachable(c candidate, r *Request) bool {
	switch {
	case c.unreachable:
		return false
	case d.found && c.state == d.chosen.state:
		return true
	}
	return r.Reachable == nil || r.Reachable(c.Target)
}

func (p *Placement) addEqual(load float64) {
	for _, c := range p.Candidates {
		if c.Reachable && c.Load == load {
			p.Equal = append(p.Equal, c.ID)
		}
	}
	if len(p.Equal) < 2 {
		p.Equal = nil
	}
}

func (p *Placement) addExcluded(targets []*state, d *decision, r *Request) {
	isCandidate := make(map[*state]bool, len(d.candidates))
	for _, c := range d.candidates {
		isCandidate[c.state] = true
	}
	for _, t := range targets {
		if !isCandidate[t] {
			p.Excluded = append(p.Excluded, PlacementExcluded{ID: t.ID, Reason: t.excludedReason(r)})
		}
	}
	slices.SortFunc(p.Excluded, func(a, b PlacementExcluded) int { return cmp.Compare(a.ID, b.ID) })
}

// excludedReason returns why a target is no candidate for a request.
func (s *state) excludedReason(r *Request) string {
	switch reason := s.ineligibleReason(r.Now); {
	case slices.Contains(r.Excluded, s.ID):
		return triedReason
	case reason != "":
		return reason
	case s.withheld(r):
		return rateLimitedReason
	}
	return otherPoolReason
}
