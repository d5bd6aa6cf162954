package nexthop

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Host is another host of the fleet.
type Host struct {
	Name string
	Addr string // address at which it takes requests of other hosts
}

// hostState is what this host knows of another one.
type hostState struct {
	Host
	inFlight     int                  // open requests of this host there
	backoffUntil time.Time            // it gets no requests before
	lostUntil    map[string]time.Time // by service: it has no path to the targets until then
}

func (s *hostState) usable(service string, now time.Time) bool {
	return !now.Before(s.backoffUntil) && !now.Before(s.lostUntil[service])
}

// Selector chooses the hosts that requests are forwarded to. It is safe for concurrent use.
type Selector struct {
	mu        sync.Mutex
	hosts     map[string]*hostState // by name
	isolation isolation
}

// NewSelector returns a selector that knows no hosts.
func NewSelector() *Selector { return &Selector{hosts: make(map[string]*hostState)} }

// SetHosts replaces the other hosts of the fleet. What is known of those that stay is kept.
func (s *Selector) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.hosts
	s.hosts = make(map[string]*hostState, len(hosts))
	for _, h := range hosts {
		state := known[h.Name]
		if state == nil || state.Addr != h.Addr {
			state = &hostState{Host: h, lostUntil: make(map[string]time.Time)}
		}
		s.hosts[h.Name] = state
	}
}

// RecordLostPath records that a host has said that it reaches no target of a service.
func (s *Selector) RecordLostPath(host, service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.hosts[host]; state != nil {
		state.lostUntil[service] = now.Add(lostPathTTL)
	}
}

// Available reports whether Pick would return a host for a service.
func (s *Selector) Available(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.hosts {
		if state.usable(service, now) && s.isolation.admits(len(s.hosts), now) {
			return true
		}
	}
	return false
}

// Pick returns a hop to a host that may serve a request of a service, or nil if none is left.
// Hosts whose names are excluded were tried already. Of two random candidates it takes the one
// with fewer open requests of this host: hosts do not know how many requests others forward.
func (s *Selector) Pick(service string, excluded []string, now time.Time) *Hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*hostState
	for _, state := range s.hosts {
		if state.usable(service, now) && !slices.Contains(excluded, state.Name) {
			candidates = append(candidates, state)
		}
	}
	if len(candidates) == 0 || !s.isolation.admits(len(s.hosts), now) {
		return nil
	}
	s.isolation.triedAt = now
	chosen := candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; other.inFlight < chosen.inFlight {
		chosen = other
	}
	chosen.inFlight++
	return &Hop{Host: chosen.Host, service: service, selector: s, state: chosen}
}

// Hop is one request forwarded to one host.
type Hop struct {
	Host     Host
	service  string
	selector *Selector
	state    *hostState
	ended    bool
}

// End records how the request ended. Only the first call counts.
func (h *Hop) End(o Outcome, now time.Time) {
	h.selector.mu.Lock()
	defer h.selector.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.state.inFlight--
	h.selector.isolation.record(h.Host.Name, o, now)
	if o == NoPath {
		h.state.lostUntil[h.service] = now.Add(lostPathTTL)
		return
	}
	if backoff := o.backoff(); backoff > 0 {
		h.state.backoffUntil = now.Add(backoff)
	}
}
