package balance

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Set holds all known targets. It is safe for concurrent use.
type Set struct {
	// Announce is called when this host sends a long prompt to a target, and again
	// at the first byte of the answer or the end of the attempt. It must not block.
	// Nil: prompts are not announced.
	Announce func(PromptUpdate)
	// AnnounceLeaving is called when a target has told this host that it leaves. It must
	// not block. Nil: other hosts are not told.
	AnnounceLeaving func(id string, born int64)

	mu                sync.Mutex
	byID              map[string]*state
	services          map[string][]*state       // in the order of state.poolScore
	pools             map[string]*poolSplit     // by service
	paths             map[string]*path          // by service
	leaving           map[incarnation]time.Time // since when it is known
	evacuated         map[string]bool           // failure domains whose targets get no requests
	hostCount         int                       // hosts that send requests to the targets
	lastAttemptNumber uint64
	candidateBuffer   []candidate // of the last decision; reused, so that a choice does not allocate
}

// NewSet returns a set without targets.
func NewSet() *Set {
	return &Set{byID: make(map[string]*state), services: make(map[string][]*state), pools: make(map[string]*poolSplit), paths: make(map[string]*path), leaving: make(map[incarnation]time.Time), hostCount: 1}
}

// Apply replaces the registered targets. The state of a target is kept as long
// as its ID is registered with the same start. A registration of an earlier start is
// ignored.
func (s *Set) Apply(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := make(map[string]*state, len(targets))
	services := make(map[string][]*state)
	for _, t := range targets {
		known := s.byID[t.ID]
		if known != nil && t.Born != 0 && t.Born < known.Born {
			t = known.Target
		}
		if known == nil || t.Born != known.Born {
			known = newState(t)
			_, known.leaving = s.leaving[incarnation{t.ID, t.Born}]
		}
		if known.Addr != t.Addr || known.Service != t.Service {
			known.replaced = false
		}
		slots := known.Slots
		known.Target = t
		if t.Slots == 0 {
			known.Slots = slots
		}
		known.evacuated = s.evacuated[t.FailureDomain]
		byID[t.ID] = known
		services[t.Service] = append(services[t.Service], known)
	}
	for _, all := range services {
		slices.SortFunc(all, func(a, b *state) int { return cmp.Compare(a.poolScore, b.poolScore) })
	}
	s.byID, s.services = byID, services
}

// SetHostCount sets the number of hosts that send requests to the targets.
func (s *Set) SetHostCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostCount = max(1, n)
}

// HostCount returns the number of hosts that send requests to the targets.
func (s *Set) HostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostCount
}

// Status is the state of a target as estimated by this host.
type Status struct {
	Target
	InFlight    int     `json:"in_flight"` // open requests of this host
	Load        float64 `json:"load"`      // estimated number of open requests of all hosts
	Slowness    float64 `json:"slowness"`  // factor by which the target is slower than expected
	FailedShare float64 `json:"failed_share"`
	Leaving     bool    `json:"leaving,omitempty"` // the target has said that it leaves
	Paused      bool    `json:"paused,omitempty"`  // the target has asked this host for a pause
	Evacuated   bool    `json:"evacuated,omitempty"`
	Available   bool    `json:"available"`
}

// Status returns the state of every target.
func (s *Set) Status(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Status, 0, len(s.byID))
	for _, t := range s.byID {
		all = append(all, Status{
			Target: t.Target, InFlight: t.inFlight, Load: t.load(now, s.hostCount),
			Slowness: t.slowness(now), FailedShare: t.failedShare, Available: t.available(now),
			Leaving: t.leaving, Paused: now.Before(t.pausedUntil), Evacuated: t.evacuated,
		})
	}
	return all
}

// maxUnavailableNamed is the number of targets that Unavailable names.
const maxUnavailableNamed = 8

// Unavailable names targets of a service that get no requests now, each with the reason,
// for a log line.
func (s *Set) Unavailable(service string, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var named []string
	for _, t := range s.services[service] {
		if reason := t.unavailableReason(now); reason != "" {
			named = append(named, t.ID+":"+reason)
		}
	}
	slices.Sort(named)
	if len(named) > maxUnavailableNamed {
		named = append(named[:maxUnavailableNamed], "and others")
	}
	return strings.Join(named, ", ")
}
