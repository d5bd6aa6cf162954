package crashes

import (
	"slices"
	"time"
)

// evidence is what the crashes that count say about a key.
type evidence struct {
	key     string
	crashes int
	// moments counts the crashes without those within separateTime after another one that counts.
	moments int
	// explained counts further crashes, which another key that is blocked explains.
	explained int
	// explainedByRequests counts those of explained that no part explains.
	explainedByRequests int
	position            int // largest position of the key in a request; 0 is the first part of a prompt
}

// evaluate blocks the keys that explain crashes: parts first, strongest first, as they may explain
// the crashes of requests. A crash counts for a part once it is confirmed, and only for the key
// that explains it: the other keys belong to requests that broke off because of it.
func (t *Tracker) evaluate(now time.Time) {
	t.announceRequests(now)
	parts, requests := t.newCandidates(now)
	for {
		strongest := t.strongest(parts, now)
		if strongest == nil {
			break
		}
		t.announceBlock(strongest.key, t.blockFor(strongest, now), now)
	}
	for _, key := range requests {
		if e := t.evidence(key, now); t.isEnough(e, now) {
			t.blockFor(e, now)
			t.unannounced = append(t.unannounced, key)
		}
	}
}

// blockFor blocks the key of the evidence.
func (t *Tracker) blockFor(e *evidence, now time.Time) *block {
	if t.Log != nil {
		t.Log.Warn().Str("key", e.key).Int("crashes", e.crashes).Msg(what(e.key) + " crashes targets. Requests with it are refused.")
	}
	return t.block(e.key, t.blockTime(e.key, 0, now), now)
}

// newCandidates returns the keys under which a crash counts for the first time and that may have
// reached their limit, those of parts and those of requests.
func (t *Tracker) newCandidates(now time.Time) (parts, requests []string) {
	if len(t.pending) == 0 {
		return nil, nil
	}
	seen := make(map[string]struct{})
	t.pending = slices.DeleteFunc(t.pending, func(c *crash) bool {
		confirmed := now.Sub(c.at) >= confirmTime
		for key := range c.keys {
			if len(t.byKey[key]) < crashesAllowed(key) || !confirmed && !(c.newRequests && isRequest(key)) {
				continue
			}
			if _, has := seen[key]; has {
				continue
			}
			seen[key] = struct{}{}
			if isRequest(key) {
				requests = append(requests, key)
			} else {
				parts = append(parts, key)
			}
		}
		c.pending, c.newRequests = !confirmed, false
		return confirmed
	})
	slices.Sort(requests) // the order must not depend on that of maps, so that tests can be repeated
	return parts, requests
}

// strongest returns the key under which the most targets have crashed of those that have
// reached their limit, nil if there is none. Of keys with as many, it is the one furthest
// from the start of the request, which fewer sound requests have.
func (t *Tracker) strongest(candidates []string, now time.Time) *evidence {
	var best *evidence
	for _, key := range candidates {
		e := t.evidence(key, now)
		t.logExplained(e, now)
		if t.isEnough(e, now) && (best == nil || e.outweighs(best)) {
			best = e
		}
	}
	return best
}

// evidence returns what the crashes that count say about a key.
func (t *Tracker) evidence(key string, now time.Time) *evidence {
	e, answeredAt := &evidence{key: key}, t.answeredAt(key)
	unanswered, lastMoment := t.unanswered(key), time.Time{}
	for _, c := range t.byKey[key] {
		if !c.at.After(answeredAt) || (!isRequest(key) && now.Sub(c.at) < confirmTime) {
			continue
		}
		if t.isExplained(c, key, unanswered) {
			e.explained++
			if !slices.ContainsFunc(c.causes, isPart) {
				e.explainedByRequests++
			}
			continue
		}
		e.crashes++
		e.position = max(e.position, c.keys[key])
		if c.at.Sub(lastMoment) >= separateTime {
			e.moments++
			lastMoment = c.at
		}
	}
	return e
}

// unanswered returns the number of crashes under a key since the last answer to it.
func (t *Tracker) unanswered(key string) int {
	n, answeredAt := 0, t.answeredAt(key)
	for _, c := range t.byKey[key] {
		if c.at.After(answeredAt) {
			n++
		}
	}
	return n
}

// isExplained reports whether a blocked key explains a crash under the given key, of which there
// are as many as given without an answer: the requests with the key broke off because of it. A
// request explains crashes for a part only if more targets have crashed under it, as otherwise
// it may be one that broke off with the part several times, and not if it holds the part. It
// explains none for other requests: of two that broke off at the same targets, either may be
// the cause.
func (t *Tracker) isExplained(c *crash, key string, unanswered int) bool {
	return slices.ContainsFunc(c.causes, func(cause string) bool {
		switch {
		case cause == key:
			return true
		case isRequest(key):
			return !isRequest(cause)
		case !isRequest(cause):
			return true
		}
		return len(t.byKey[cause]) > unanswered && t.unanswered(cause) > unanswered && !slices.Contains(c.requests[cause], key)
	})
}

// logExplained logs a part that would be blocked if no requests explained crashes under it.
func (t *Tracker) logExplained(e *evidence, now time.Time) {
	if t.Log == nil || t.blocks[e.key] != nil || t.isEnough(e, now) || e.explainedByRequests == 0 || e.crashes+e.explainedByRequests < crashesAllowed(e.key) {
		return
	}
	t.Log.Info().Str("key", e.key).Int("crashes", e.crashes).Int("explained", e.explainedByRequests).Msg("Part of a prompt is not blocked, as requests explain crashes under it.")
}

// outweighs orders evidence by crashes and position, and by key so that all hosts agree.
func (e *evidence) outweighs(other *evidence) bool {
	switch {
	case e.crashes != other.crashes:
		return e.crashes > other.crashes
	case e.position != other.position:
		return e.position > other.position
	}
	return e.key < other.key
}

// crashesAllowed returns the number of crashes from which a key without answers is blocked.
func crashesAllowed(key string) int {
	if isRequest(key) {
		return maxRequestCrashes
	}
	return maxCrashes
}

// isEnough reports whether the evidence suffices to block the key. A key of which a request was
// answered lately needs more of it: failures of many targets at once break off requests with
// every frequent key, and say little. What speaks against it is that it is not answered between
// crashes at several moments.
func (t *Tracker) isEnough(e *evidence, now time.Time) bool {
	allowed := crashesAllowed(e.key)
	if !t.answeredWithin(e.key, answeredTTL, now) {
		return e.crashes >= allowed
	}
	return e.moments >= allowed || (e.crashes > allowed && e.moments >= minMomentsIfAnswered)
}
