package crashparts

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxCrashes is the number of targets that may crash under a part without an answer in
	// between before the part is blocked. The users allow five.
	maxCrashes = 4
	// maxCrashesIfAnswered replaces maxCrashes for a part of which a request was answered
	// within answeredTTL: failures of many targets at once break off requests with every
	// frequent part.
	maxCrashesIfAnswered = 12
	// answeredTTL is how long it is remembered that a request with a part was answered.
	answeredTTL = time.Minute
	// confirmTime is how long a crash does not count yet, so that an answer of the target
	// can show that only a connection broke.
	confirmTime = 500 * time.Millisecond
	// restartTime is less than a crashed target takes to be back. A target that may come
	// back under its ID is known to be alive only by an answer within it.
	restartTime = time.Second
	// blockTime is how long a part is blocked after its last crash. It is much longer than
	// crashed targets take to be available again.
	blockTime = 2 * time.Minute
	// blockTimeIfAnswered replaces blockTime for a part that had answers, which is more
	// likely to be sound.
	blockTimeIfAnswered = time.Second
	// trialTime is how long a part stays blocked at most after a request was let through to
	// see whether it still crashes targets. The request may never reach a target.
	trialTime = 10 * time.Second
	// crashTTL is how long crashes and blocks are remembered.
	crashTTL = 10 * time.Minute
	// maxCrashRecords bounds the memory for crashes; further ones are not recorded.
	maxCrashRecords = 1024
	// answerReplyAge is the age up to which an earlier answer clears a part that another
	// host reports.
	answerReplyAge = 10 * time.Second
	// answerReplyPause is the time between two such replies for a part.
	answerReplyPause = 200 * time.Millisecond
)

// Tracker records crashes of targets with the prompt parts of the requests that broke, and
// decides which parts are blocked. It is safe for concurrent use.
type Tracker struct {
	// Announce tells other hosts of an event. It must not block. Nil: they are not told.
	Announce func(Event)
	// Log logs parts that are blocked and released. Nil: nothing is logged.
	Log *log.Logger

	mu         sync.Mutex
	crashes    map[Target]*crash
	blocks     map[string]*block // by key of the part
	answeredAt *recentTimes      // last answer to a request with a part
	repliedAt  *recentTimes      // last reply that a part is sound
}

// crash is a target that broke off requests before they were answered.
type crash struct {
	at        time.Time
	parts     []promptPart
	evaluated bool // it has counted, or will not
	explained bool // a blocked part was among the parts
}

// promptPart is a part of the prompt of a request that broke.
type promptPart struct {
	key   string
	depth int // position among the reported parts of the prompt
}

func (c *crash) has(part string) bool {
	return slices.ContainsFunc(c.parts, func(p promptPart) bool { return p.key == part })
}

// add adds a part, or moves it to a greater depth.
func (c *crash) add(part promptPart) {
	for i, known := range c.parts {
		if known.key == part.key {
			c.parts[i].depth = max(known.depth, part.depth)
			return
		}
	}
	c.parts = append(c.parts, part)
}

// block is a part whose requests are refused.
type block struct {
	until       time.Time
	lastCrashAt time.Time
}

// New returns a tracker without records.
func New() *Tracker {
	return &Tracker{crashes: make(map[Target]*crash), blocks: make(map[string]*block), answeredAt: newRecentTimes(answeredTTL), repliedAt: newRecentTimes(answerReplyPause)}
}

// Broken records that a target broke off a request with the given parts before it had
// answered it. It tells other hosts of the parts that they do not know of yet.
func (t *Tracker) Broken(target Target, parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.crashes[target]
	suspects := slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		return t.answeredWithin(part, answerReplyAge, now) || (known != nil && known.has(part))
	})
	t.recordCrash(target, parts, now)
	if len(suspects) > 0 {
		t.announce(Event{Kind: Crashed, Target: target, Parts: suspects})
	}
}

// Answered records that a request with the given parts was answered.
func (t *Tracker) Answered(parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		suspected := t.blocks[part] != nil || t.isSuspected(part)
		t.recordAnswer(part, now)
		if suspected {
			t.reply(part, now)
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
		for _, part := range e.Parts {
			if t.answeredWithin(part, answerReplyAge, now) {
				t.reply(part, now)
			}
		}
		t.recordCrash(e.Target, e.Parts, now)
	case Alive:
		t.removeCrash(e.Target)
	case Answered:
		for _, part := range e.Parts {
			t.repliedAt.set(part, now)
			t.recordAnswer(part, now)
		}
	case Blocked:
		for _, part := range e.Parts {
			t.adoptBlock(part, e.Remaining, now)
		}
	}
}

// IsBlocked reports whether a request with the given parts would not be admitted now.
func (t *Tracker) IsBlocked(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBlocked(parts, now)
}

// Admit reports whether a request with the given parts may be sent. Once the block of a part
// has run out, it admits one request as a trial and blocks the next ones.
func (t *Tracker) Admit(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isBlocked(parts, now) {
		return false
	}
	for _, part := range parts {
		if b := t.blocks[part]; b != nil {
			wait := min(trialTime, t.blockTime(part, now))
			b.until = now.Add(wait)
			t.announce(Event{Kind: Blocked, Parts: []string{part}, Remaining: wait})
		}
	}
	return true
}

// isBlocked is IsBlocked for a caller that holds the mutex.
func (t *Tracker) isBlocked(parts []string, now time.Time) bool {
	t.evaluate(now)
	return slices.ContainsFunc(parts, func(part string) bool {
		b := t.blocks[part]
		return b != nil && now.Before(b.until)
	})
}

// BlockedParts returns an event for each part that is blocked.
func (t *Tracker) BlockedParts(now time.Time) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for part, b := range t.blocks {
		if remaining := b.until.Sub(now); remaining > 0 {
			events = append(events, Event{Kind: Blocked, Parts: []string{part}, Remaining: remaining})
		}
	}
	return events
}

// recordCrash records a crash. The caller holds the mutex, here and below.
func (t *Tracker) recordCrash(target Target, parts []string, now time.Time) {
	c := t.crashes[target]
	if c == nil {
		t.deleteExpired(now)
		if len(t.crashes) >= maxCrashRecords {
			return
		}
		c = &crash{at: now}
		t.crashes[target] = c
	}
	for depth, part := range parts {
		c.add(promptPart{key: part, depth: depth})
		if b := t.blocks[part]; b != nil {
			c.explained = true
			b.lastCrashAt = now
			b.until = later(b.until, now.Add(t.blockTime(part, now)))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
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
	delete(t.crashes, target)
	if !c.explained {
		return
	}
	for _, part := range c.parts {
		if t.blocks[part.key] != nil && t.crashesUnder(part.key) < maxCrashes {
			t.release(part.key, "a target has answered since it was taken for crashed")
		}
	}
}

func (t *Tracker) crashesUnder(part string) int {
	n := 0
	for _, c := range t.crashes {
		if c.has(part) {
			n++
		}
	}
	return n
}

func (t *Tracker) recordAnswer(part string, now time.Time) {
	t.answeredAt.set(part, now)
	if t.blocks[part] != nil {
		t.release(part, "a request with it was answered")
	}
}

func (t *Tracker) answeredWithin(part string, age time.Duration, now time.Time) bool {
	at := t.answeredAt.get(part)
	return !at.IsZero() && now.Sub(at) <= age
}

// isSuspected reports whether crashes have been recorded under a part since its last
// answer.
func (t *Tracker) isSuspected(part string) bool {
	answeredAt := t.answeredAt.get(part)
	for _, c := range t.crashes {
		if !c.explained && c.at.After(answeredAt) && c.has(part) {
			return true
		}
	}
	return false
}

// reply tells other hosts that requests with a part are answered.
func (t *Tracker) reply(part string, now time.Time) {
	if now.Sub(t.repliedAt.get(part)) < answerReplyPause {
		return
	}
	t.repliedAt.set(part, now)
	t.announce(Event{Kind: Answered, Parts: []string{part}})
}

func (t *Tracker) announce(e Event) {
	if t.Announce == nil {
		return
	}
	for parts := range slices.Chunk(e.Parts, maxEventParts) {
		t.Announce(Event{Kind: e.Kind, Target: e.Target, Parts: parts, Remaining: e.Remaining})
	}
	if len(e.Parts) == 0 {
		t.Announce(e)
	}
}

// deleteExpired deletes what is older than crashTTL.
func (t *Tracker) deleteExpired(now time.Time) {
	for target, c := range t.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(t.crashes, target)
		}
	}
	for part, b := range t.blocks {
		if now.Sub(b.lastCrashAt) > crashTTL {
			delete(t.blocks, part)
		}
	}
}
