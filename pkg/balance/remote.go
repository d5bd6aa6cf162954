package balance

import "time"

// Prompt is a long prompt on its way to a target, for other hosts.
type Prompt struct {
	Number uint64 // unique on its host
	Target string
	Tokens int64 // 0: the target has read it
}

const (
	// A prompt of another host counts until the host tells that it was read, or
	// until this time has passed.
	remoteBase     = 300 * time.Millisecond
	remotePerToken = 50 * time.Microsecond
)

// remoteKey names a prompt of another host.
type remoteKey struct {
	host   string
	number uint64
}

// remotePrompt is a prompt of another host that a target may be reading.
type remotePrompt struct {
	tokens int64
	until  time.Time
}

// Heard takes over what another host tells of a prompt.
func (s *Set) Heard(host string, p Prompt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byID[p.Target]
	if t == nil {
		return
	}
	key := remoteKey{host: host, number: p.Number}
	if p.Tokens == 0 {
		delete(t.remote, key)
		return
	}
	t.remote[key] = remotePrompt{tokens: p.Tokens, until: now.Add(remoteBase + time.Duration(p.Tokens)*remotePerToken)}
}

// promptTokens returns the prompt tokens that the target has still to read.
func (s *state) promptTokens(now time.Time) int64 {
	total := s.pendingPrompt
	for key, p := range s.remote {
		if now.After(p.until) {
			delete(s.remote, key)
			continue
		}
		total += p.tokens
	}
	return total
}

// tell announces the start or the end of a long prompt. The caller holds the mutex.
func (s *Set) tell(a *Attempt, tokens int64) {
	if s.Announce == nil || a.prompt < longPrompt {
		return
	}
	s.Announce(Prompt{Number: a.number, Target: a.Target.ID, Tokens: tokens})
}
