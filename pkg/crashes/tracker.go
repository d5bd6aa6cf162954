package crashes

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxCrashes is the number of targets that may crash under a part without an answer in
	// between before the part is blocked. The users allow five.
	maxCrashes = 4
	// maxRequestCrashes replaces maxCrashes for a request. The users allow three.
	maxRequestCrashes = 3
	// minMomentsIfAnswered is the number of moments at which targets must have crashed under a
	// key of which a request was answered within answeredTTL, for it to be blocked. Failures of
	// many targets at once break off requests with every frequent key.
	minMomentsIfAnswered = 2
	// separateTime is the time between two crashes in which a request with a frequent key would
	// have been answered. Crashes within it count as one moment.
	separateTime = 500 * time.Millisecond
	// answeredTTL is how long it is remembered that a request with a key was answered.
	answeredTTL = time.Minute
	// confirmTime is how long a crash does not count for parts yet, so that an answer of the
	// target can show that only a connection broke. It counts for requests at once: they
	// have nothing in common with others.
	confirmTime = 500 * time.Millisecond
	// restartTime is less than a crashed target takes to be back. A target that may come
	// back under its ID is known to be alive only by an answer within it.
	restartTime = time.Second
	// retellTime is how long other hosts are told of a crash again.
	retellTime = 2 * time.Second
	// crashTTL is how long crashes are remembered.
	crashTTL = 10 * time.Minute
	// maxCrashRecords bounds the memory for crashes; further ones are not recorded.
	maxCrashRecords = 1024
	// answerReplyAge is the age up to which other hosts are told of an answer to a key that
	// they report a crash under. It speaks for the key if the crashes are at one moment.
	answerReplyAge = 10 * time.Second
	// answerReplyPause is the time between two such replies for a key.
	answerReplyPause = 200 * time.Millisecond
)

// Tracker records crashes of targets with the keys of the requests that broke, and decides
// which keys are blocked. It is safe for concurrent use.
type Tracker struct {
	// Announce tells other hosts of an event. It must not block. Nil: they are not told.
	Announce func(Event)
	// Log logs keys that are blocked and released. Nil: nothing is logged.
	Log *log.Logger

	mu               sync.Mutex
	crashes          map[Target]*crash
	byKey            map[string][]*crash // the same crashes
	pending          []*crash            // crashes with keys that were not evaluated yet
	blocks           map[string]*block   // by key
	unannounced      []string            // keys of requests that are blocked, of which other hosts were not told yet
	answeredParts    *recentTimes        // last answer to a request with a part
	answeredRequests *recentTimes        // last answer to a request; apart, as each request has another key
	repliedAt        *recentTimes        // last reply that a key is sound
}

// New returns a tracker without records.
func New() *Tracker {
	return &Tracker{
		crashes: make(map[Target]*crash), byKey: make(map[string][]*crash), blocks: make(map[string]*block),
		answeredParts: newRecentTimes(answeredTTL), answeredRequests: newRecentTimes(answeredTTL), repliedAt: newRecentTimes(answerReplyPause),
	}
}

// Broken records that a target broke off a request with the given keys before it had
// answered it. It tells other hosts of the keys that they do not know of yet.
func (t *Tracker) Broken(target Target, keys []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.crashes[target]
	suspects := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return known != nil && known.has(key) })
	trials := t.recordCrash(target, keys, now, now)
	if len(suspects) > 0 {
		t.announce(Event{Kind: Crashed, Target: target, Keys: suspects})
	}
	for _, key := range trials {
		t.announceBlock(key, t.blocks[key], now)
	}
}

// Answered records that a request with the given keys was answered. begunAt is when the target
// began to answer it, or before: the answer shows nothing of crashes that came later.
func (t *Tracker) Answered(keys []string, begunAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if t.recordAnswer(key, begunAt, now) {
			t.reply(key, now)
		}
	}
}

// Responded records that a target responded to a request that was sent at a time.
func (t *Tracker) Responded(target Target, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[target]
	if c == nil || !sentAt.After(c.at) || (target.Born != 0 && now.Sub(c.at) > restartTime) {
		return
	}
	t.removeCrash(target)
	t.announce(Event{Kind: Alive, Target: target})
}

// Receive records an event of another host.
func (t *Tracker) Receive(e Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.Kind {
	case Crashed:
		for _, key := range e.Keys {
			if t.answeredWithin(key, answerReplyAge, now) {
				t.reply(key, now)
			}
		}
		t.recordCrash(e.Target, e.Keys, now.Add(-max(0, min(e.Age, retellTime))), now)
	case Alive:
		t.removeCrash(e.Target)
	case Answered:
		for _, key := range e.Keys {
			t.repliedAt.set(key, now, now)
			t.recordAnswer(key, now.Add(-max(0, e.Age)), now)
		}
	case Blocked:
		for _, key := range e.Keys {
			t.adoptBlock(key, e, now)
		}
	}
}

// IsBlocked reports whether a request with the given keys would not be admitted now.
func (t *Tracker) IsBlocked(keys []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBlocked(keys, now)
}

// Admit reports whether a request with the given keys may be sent. Once the block of a key
// has run out, it admits one request as a trial and blocks the next ones.
func (t *Tracker) Admit(keys []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isBlocked(keys, now) {
		return false
	}
	for _, key := range keys {
		if b := t.blocks[key]; b != nil {
			b.until, b.trialAt = now.Add(t.trialTime(key, now)), now
			t.announceBlock(key, b, now)
		}
	}
	return true
}

// isBlocked is IsBlocked for a caller that holds the mutex.
func (t *Tracker) isBlocked(keys []string, now time.Time) bool {
	t.evaluate(now)
	return slices.ContainsFunc(keys, func(key string) bool {
		b := t.blocks[key]
		return b != nil && now.Before(b.until)
	})
}

// Blocked returns an event for each key that is blocked, as other hosts are told.
func (t *Tracker) Blocked(now time.Time) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for key, b := range t.blocks {
		if b.announced && now.Before(b.until) {
			events = append(events, b.event(key, now))
		}
	}
	return events
}

// Suspects returns events that tell other hosts again of recent crashes under keys that are not
// blocked: an event reaches only some hosts of a large fleet, so that each knows a part of the
// crashes.
func (t *Tracker) Suspects(now time.Time) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for target, c := range t.crashes {
		age := now.Sub(c.at)
		if age > retellTime {
			continue
		}
		var keys []string
		for key := range c.keys {
			if len(t.byKey[key]) > 1 && t.blocks[key] == nil && t.unanswered(key) > 1 {
				keys = append(keys, key)
			}
		}
		if len(keys) == 0 {
			continue
		}
		slices.SortFunc(keys, func(a, b string) int {
			return cmp.Or(cmp.Compare(t.unanswered(b), t.unanswered(a)), cmp.Compare(a, b))
		})
		events = append(events, Event{Kind: Crashed, Target: target, Keys: keys[:min(len(keys), maxEventKeys)], Age: age})
	}
	return events
}

// BlockedParts and BlockedRequests return the keys of parts and of requests that are blocked.
func (t *Tracker) BlockedParts(now time.Time) []string { return t.blockedKeys(false, now) }

// BlockedRequests is described with BlockedParts.
func (t *Tracker) BlockedRequests(now time.Time) []string { return t.blockedKeys(true, now) }

func (t *Tracker) blockedKeys(requests bool, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key, b := range t.blocks {
		if isRequest(key) == requests && now.Before(b.until) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// recordCrash records a crash that happened at a time. It returns the blocked keys that it counts as a trial for. The
// caller holds the mutex, here and below.
func (t *Tracker) recordCrash(target Target, keys []string, at, now time.Time) (trials []string) {
	c := t.crashes[target]
	if c == nil {
		t.deleteExpired(now)
		if len(t.crashes) >= maxCrashRecords {
			return nil
		}
		c = newCrash(at)
		t.crashes[target] = c
	}
	for position, key := range keys {
		news := c.add(key, position, keys)
		if news {
			t.byKey[key] = append(t.byKey[key], c)
			c.newRequests = c.newRequests || isRequest(key)
			t.markPending(c)
		}
		if b := t.blocks[key]; b != nil {
			c.explains(key)
			if news && b.recordTrial(now) {
				trials = append(trials, key)
			}
			b.until, b.crashedAt = later(b.until, at.Add(t.blockTime(key, b.trials, now))), later(b.crashedAt, c.at)
		}
	}
	return trials
}

// markPending makes the next evaluation consider the keys of a crash.
func (t *Tracker) markPending(c *crash) {
	if !c.pending {
		c.pending = true
		t.pending = append(t.pending, c)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// removeCrash removes a crash that did not happen, and the blocks that it led to.
func (t *Tracker) removeCrash(target Target) {
	c := t.crashes[target]
	if c == nil {
		return
	}
	t.forget(target, c)
	for _, key := range slices.Clone(c.causes) {
		if t.blocks[key] != nil && len(t.byKey[key]) < crashesAllowed(key) {
			t.release(key, "a target has answered since it was taken for crashed")
		}
	}
}

// forget deletes the record of a crash.
func (t *Tracker) forget(target Target, c *crash) {
	delete(t.crashes, target)
	isCrash := func(other *crash) bool { return other == c }
	for key := range c.keys {
		if t.byKey[key] = slices.DeleteFunc(t.byKey[key], isCrash); len(t.byKey[key]) == 0 {
			delete(t.byKey, key)
		}
	}
	t.pending = slices.DeleteFunc(t.pending, isCrash)
}

// recordAnswer records an answer that began at a time. It reports whether it speaks against
// crashes, or ends a block.
func (t *Tracker) recordAnswer(key string, begunAt, now time.Time) bool {
	before, cleared := t.answeredAt(key), 0
	for _, c := range t.byKey[key] {
		if c.at.After(before) && begunAt.After(c.at) {
			cleared++
		}
	}
	t.answers(key).set(key, begunAt, now)
	if b := t.blocks[key]; b != nil && begunAt.After(b.crashedAt) {
		t.release(key, "a request with it was answered")
		return true
	}
	if cleared > 0 && t.Log != nil {
		t.Log.Info().Str("key", key).Int("crashes", cleared).Dur("age", now.Sub(begunAt)).Msg("An answer speaks for " + inSentence(key) + " under which targets have crashed.")
	}
	return cleared > 0
}

// answers returns the times of answers among which those of a key are.
func (t *Tracker) answers(key string) *recentTimes {
	if isRequest(key) {
		return t.answeredRequests
	}
	return t.answeredParts
}

func (t *Tracker) answeredAt(key string) time.Time { return t.answers(key).get(key) }

func (t *Tracker) answeredWithin(key string, age time.Duration, now time.Time) bool {
	at := t.answeredAt(key)
	return !at.IsZero() && now.Sub(at) <= age
}

// reply tells other hosts of the last answer to a request with a key.
func (t *Tracker) reply(key string, now time.Time) {
	if now.Sub(t.repliedAt.get(key)) < answerReplyPause {
		return
	}
	t.repliedAt.set(key, now, now)
	t.announce(Event{Kind: Answered, Keys: []string{key}, Age: max(0, now.Sub(t.answeredAt(key)))})
}

func (t *Tracker) announce(e Event) {
	if t.Announce == nil {
		return
	}
	for keys := range slices.Chunk(e.Keys, maxEventKeys) {
		chunk := e
		chunk.Keys = keys
		t.Announce(chunk)
	}
	if len(e.Keys) == 0 {
		t.Announce(e)
	}
}

// deleteExpired deletes what is older than crashTTL.
func (t *Tracker) deleteExpired(now time.Time) {
	for target, c := range t.crashes {
		if now.Sub(c.at) > crashTTL {
			t.forget(target, c)
		}
	}
}
