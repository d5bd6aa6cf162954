package balance

import "time"

// PromptUpdate tells other hosts that a target is processing a long prompt, or has
// finished.
type PromptUpdate struct {
	Number uint64 // identifies the prompt among those of the announcing host
	Target string // target ID
	Tokens int64  // 0: the target has finished processing the prompt
}

const (
	// remotePromptBaseExpiry and remotePromptExpiryPerToken give the time for which a
	// prompt of another host counts in the load of its target if no announcement says
	// that the target has finished processing it.
	remotePromptBaseExpiry     = 300 * time.Millisecond
	remotePromptExpiryPerToken = 50 * time.Microsecond
)

// remotePromptKey identifies a prompt of another host.
type remotePromptKey struct {
	host   string
	number uint64
}

// remotePrompt is a long prompt of another host that a target may be processing.
type remotePrompt struct {
	tokens    int64
	expiresAt time.Time
}

// RecordRemotePrompt records an announcement of another host: that a target is
// processing a long prompt, or has finished processing it.
func (s *Set) RecordRemotePrompt(host string, p PromptUpdate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byID[p.Target]
	if t == nil {
		return
	}
	key := remotePromptKey{host: host, number: p.Number}
	if p.Tokens == 0 {
		delete(t.remotePrompts, key)
		return
	}
	for other, known := range t.remotePrompts {
		if now.After(known.expiresAt) {
			delete(t.remotePrompts, other)
		}
	}
	t.remotePrompts[key] = remotePrompt{tokens: p.Tokens, expiresAt: now.Add(remotePromptBaseExpiry + time.Duration(p.Tokens)*remotePromptExpiryPerToken)}
}

// prefillTokens returns the number of prompt tokens that the target has yet to
// process. Expired prompts of other hosts do not count.
func (s *state) prefillTokens(now time.Time) int64 {
	total := s.ownPrefillTokens
	if len(s.remotePrompts) == 0 {
		return total
	}
	for _, p := range s.remotePrompts {
		if !now.After(p.expiresAt) {
			total += p.tokens
		}
	}
	return total
}

// announcePrompt announces that the target is processing a long prompt or, if tokens
// is 0, that it has finished processing it. The caller holds the mutex.
func (s *Set) announcePrompt(a *Attempt, tokens int64) {
	if s.Announce == nil || !a.announced || a.promptTokens < longPromptTokens {
		return
	}
	s.Announce(PromptUpdate{Number: a.number, Target: a.Target.ID, Tokens: tokens})
}
