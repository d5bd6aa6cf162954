package balance

import "time"

const (
	// minUnreachedTargets is the number of targets of a service that could not be reached since
	// its last answer from which this host takes the path to the service for lost. All of
	// them, if the service has fewer.
	minUnreachedTargets = 3
	// pathLossDelay is the least time for which no target was reached before the path counts
	// as lost.
	pathLossDelay = 500 * time.Millisecond
	// serviceUseTime is the time after its last request for which a service counts as used.
	serviceUseTime = 10 * time.Second
)

// path is what this host knows of its path to the targets of one service, from its own
// requests. One target that answers shows that there is a path; a target that cannot be reached
// while others answer has failed itself.
type path struct {
	unreached map[string]struct{} // IDs of the targets that could not be reached since the last answer
	since     time.Time           // when the first of them could not be reached
	refused   bool                // one of them could not be reached for another cause than the time that it took
	usedAt    time.Time           // last request of the service
}

// path returns the path to a service. The caller holds the mutex.
func (s *Set) path(service string) *path {
	p := s.paths[service]
	if p == nil {
		p = &path{unreached: make(map[string]struct{})}
		s.paths[service] = p
	}
	return p
}

func (p *path) recordUnreached(id string, now time.Time, late bool) {
	if len(p.unreached) == 0 {
		p.since, p.refused = now, false
	}
	p.refused = p.refused || !late
	p.unreached[id] = struct{}{}
}

func (p *path) recordReached() { clear(p.unreached) }

// lost reports whether there is no path to a service with a number of targets.
func (p *path) lost(targets int, now time.Time) bool {
	return targets > 0 && len(p.unreached) >= min(minUnreachedTargets, targets) && now.Sub(p.since) >= pathLossDelay
}

// PathLost reports whether this host reaches no target of a service, as far as its requests
// show.
func (s *Set) PathLost(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.paths[service]
	return p != nil && p.lost(len(s.services[service]), now)
}

// PathLate reports whether the path to a service counts as lost only because connections took too
// long: none was refused since the last answer.
func (s *Set) PathLate(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.path(service)
	return p.lost(len(s.services[service]), now) && !p.refused
}

// RecordReached records that a target of a service was reached.
func (s *Set) RecordReached(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path(service).recordReached()
}

// LostPaths returns the services to which this host has no path, each with the addresses of its
// targets.
func (s *Set) LostPaths(now time.Time) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(map[string][]string)
	for service, p := range s.paths {
		if !p.lost(len(s.services[service]), now) {
			continue
		}
		for _, t := range s.services[service] {
			lost[service] = append(lost[service], t.Addr)
		}
	}
	return lost
}

// AllPathsLost reports whether this host has a path to none of the services that it was asked
// for lately.
func (s *Set) AllPathsLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	anyLost := false
	for service, p := range s.paths {
		lost := p.lost(len(s.services[service]), now)
		if !lost && now.Sub(p.usedAt) <= serviceUseTime {
			return false
		}
		anyLost = anyLost || lost
	}
	return anyLost
}
