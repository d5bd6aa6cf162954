package balance

// SetEvacuated sets the failure domains whose targets get no requests until a later call
// leaves them out. Requests that a target is running go on.
func (s *Set) SetEvacuated(failureDomains map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = failureDomains
	for _, t := range s.byID {
		t.evacuated = failureDomains[t.FailureDomain]
	}
}
