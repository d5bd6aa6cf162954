package balance

import (
	"sync"
	"time"
)

// Set holds all known targets. It is safe for concurrent use.
type Set struct {
	// Announce is called for each long prompt of this host, at its start and when
	// its target has read it. It must not block. Nil: nobody is told.
	Announce func(Prompt)

	mu       sync.Mutex
	byID     map[string]*state
	services map[string][]*state
	lanes    map[string]*lanes // by service
	hosts    int
	prompts  uint64 // number of the last attempt
}

// NewSet returns a set without targets.
func NewSet() *Set {
	return &Set{byID: make(map[string]*state), services: make(map[string][]*state), lanes: make(map[string]*lanes), hosts: 1}
}

// Apply replaces the registered targets. What is known of a target stays as
// long as its id does.
func (s *Set) Apply(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := make(map[string]*state, len(targets))
	services := make(map[string][]*state)
	for _, t := range targets {
		known := s.byID[t.ID]
		if known == nil {
			known = newState(t)
		}
		if known.Addr != t.Addr || known.Service != t.Service {
			known.replaced = false
		}
		slots := known.Slots
		known.Target = t
		if t.Slots == 0 {
			known.Slots = slots
		}
		byID[t.ID] = known
		services[t.Service] = append(services[t.Service], known)
	}
	s.byID, s.services = byID, services
}

// SetHosts tells how many hosts send requests to the targets.
func (s *Set) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(1, n)
}

// Hosts returns how many hosts send requests to the targets.
func (s *Set) Hosts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

// Status is what this host believes of a target.
type Status struct {
	Target
	InFlight    int     `json:"in_flight"`
	Load        float64 `json:"load"`
	Slowness    float64 `json:"slowness"`
	FailedShare float64 `json:"failed_share"`
	Available   bool    `json:"available"`
}

// Status describes every target.
func (s *Set) Status(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Status, 0, len(s.byID))
	for _, t := range s.byID {
		all = append(all, Status{
			Target: t.Target, InFlight: t.inFlight, Load: t.load(now, s.hosts),
			Slowness: t.slowness(now), FailedShare: t.failures, Available: t.available(now),
		})
	}
	return all
}
