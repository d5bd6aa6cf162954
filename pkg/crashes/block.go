package crashes

import (
	"slices"
	"time"
)

// blockTimes are how long a key is blocked after a crash, by the number of trials that have
// crashed targets since it was blocked; the last one holds for all further trials. The first
// is much longer than crashed targets take to be available again. The users allow three
// requests in all after the block, so there are three trials in a day.
var blockTimes = [...]time.Duration{2 * time.Minute, 20 * time.Minute, 3 * time.Hour, 24 * time.Hour}

// blockTimesIfDoubtful replace blockTimes for a key that is more likely to be sound: the first trial follows as soon as all hosts of a large fleet have learned of the block.
var blockTimesIfDoubtful = [...]time.Duration{2 * time.Second, 10 * time.Second, 20 * time.Minute, 3 * time.Hour, 24 * time.Hour}

const (
	// trialTime is how long a key stays blocked at most after a request was let through to
	// see whether it still crashes targets. The request may never reach a target.
	trialTime = 10 * time.Second
	// trialTimeIfDoubtful replaces trialTime for a key that is more likely to be sound: if it is,
	// all requests with it are refused meanwhile.
	trialTimeIfDoubtful = 3 * time.Second
	// inFlightTime is the time after the beginning of a block, or a trial, in which requests
	// that were sent before may still crash targets.
	inFlightTime = 5 * time.Second
	// maxBlocks bounds the memory for blocks. Beyond it, the one that ends first is dropped.
	maxBlocks = 1024
	// requestAnnounceDelay is how old the block of a request is when other hosts are told. Until
	// then, a part may turn out to explain the crashes.
	requestAnnounceDelay = time.Second
)

// block is a key whose requests are refused.
type block struct {
	until  time.Time
	trials int       // requests that have crashed targets since the key was blocked
	since  time.Time // when the key was blocked, or trials has risen
	// blockedAt is when the key was blocked here.
	blockedAt time.Time
	// crashedAt is when the last crash under the key was recorded, here or at the host that told
	// of the block. Answers that began before it do not end the block.
	crashedAt time.Time
	trialAt   time.Time // when this host has let the last trial through
	announced bool      // other hosts were told
}

// blockTime returns how long a key is blocked after a crash.
func (t *Tracker) blockTime(key string, trials int, now time.Time) time.Duration {
	times := blockTimes[:]
	if t.isDoubtful(key, now) {
		times = blockTimesIfDoubtful[:]
	}
	return times[min(trials, len(times)-1)]
}

// trialTime returns how long a key stays blocked after a trial was let through.
func (t *Tracker) trialTime(key string, now time.Time) time.Duration {
	if t.isDoubtful(key, now) {
		return trialTimeIfDoubtful
	}
	return trialTime
}

// block blocks a key until now + duration at least. The crashes under it are explained.
func (t *Tracker) block(key string, duration time.Duration, now time.Time) *block {
	b := t.blocks[key]
	if b == nil {
		t.dropBlocks(now)
		b = &block{since: now, blockedAt: now}
		t.blocks[key] = b
	}
	b.until = later(b.until, now.Add(duration))
	for _, c := range t.byKey[key] {
		c.explains(key)
		b.crashedAt = later(b.crashedAt, c.at)
	}
	if !isRequest(key) {
		t.releaseExplainedRequests(key, now)
		t.shortenExplainedParts(key, now)
	}
	return b
}

// isDoubtful reports whether a blocked key is more likely to be sound than others: a request with
// it was answered lately, or another blocked part explains the crashes under it.
func (t *Tracker) isDoubtful(key string, now time.Time) bool {
	return t.answeredWithin(key, answeredTTL, now) || t.isExplainedByBlockedPart(key, now)
}

// isExplainedByBlockedPart reports whether this host knows a blocked part that explains the
// crashes under another part: most were under both, too few under the other part alone to block
// it, and more under the blocked one alone. A part that was answered lately explains none under a
// part that was not. A host that knows only some of the crashes of a large
// fleet may have blocked a part that most sound requests share before it knew the cause.
func (t *Tracker) isExplainedByBlockedPart(key string, now time.Time) bool {
	if isRequest(key) {
		return false
	}
	for cause := range t.blocks {
		if cause == key || isRequest(cause) || (t.answeredWithin(cause, answeredTTL, now) && !t.answeredWithin(key, answeredTTL, now)) {
			continue
		}
		alone := t.crashesWithout(key, cause)
		if alone < crashesAllowed(key) && t.unanswered(key) > 2*alone && t.crashesWithout(cause, key) > alone {
			return true
		}
	}
	return false
}

// crashesWithout returns the number of crashes under a key since the last answer to it in which
// no request with the other key broke off.
func (t *Tracker) crashesWithout(key, other string) int {
	n, answeredAt := 0, t.answeredAt(key)
	for _, c := range t.byKey[key] {
		if c.at.After(answeredAt) && !c.has(other) {
			n++
		}
	}
	return n
}

// shortenExplainedParts brings the trials of parts forward that were blocked before the given
// one, which explains the crashes under them.
func (t *Tracker) shortenExplainedParts(cause string, now time.Time) {
	for key, b := range t.blocks {
		if key != cause && b.trials == 0 && t.isExplainedByBlockedPart(key, now) {
			b.until = earlier(b.until, now.Add(blockTimesIfDoubtful[0]))
		}
	}
}

// releaseExplainedRequests ends the blocks of requests that broke off because of a part that
// was found only after them.
func (t *Tracker) releaseExplainedRequests(part string, now time.Time) {
	for _, c := range t.byKey[part] {
		for _, cause := range slices.Clone(c.causes) {
			if isRequest(cause) && t.blocks[cause] != nil && t.evidence(cause, now).crashes < crashesAllowed(cause) {
				t.release(cause, "a part of a prompt explains the crashes")
			}
		}
	}
}

// announceRequests tells other hosts of the requests that have been blocked for
// requestAnnounceDelay.
func (t *Tracker) announceRequests(now time.Time) {
	t.unannounced = slices.DeleteFunc(t.unannounced, func(key string) bool {
		b := t.blocks[key]
		if b == nil || b.announced {
			return true
		}
		if now.Sub(b.blockedAt) < requestAnnounceDelay {
			return false
		}
		t.announceBlock(key, b, now)
		return true
	})
}

func (t *Tracker) announceBlock(key string, b *block, now time.Time) {
	b.announced = true
	t.announce(b.event(key, now))
}

// event returns the event that tells other hosts of the block of a key.
func (b *block) event(key string, now time.Time) Event {
	return Event{Kind: Blocked, Keys: []string{key}, Remaining: b.until.Sub(now), Trials: b.trials, Age: now.Sub(b.crashedAt)}
}

// adoptBlock blocks a key that another host has blocked, unless this host has an answer that
// began after the crashes that it tells of, or knows a part that explains them.
func (t *Tracker) adoptBlock(key string, e Event, now time.Time) {
	crashedAt := now.Add(-max(0, e.Age))
	if t.answeredAt(key).After(crashedAt) {
		t.reply(key, now)
		return
	}
	if isRequest(key) && t.isExplainedByParts(key, now) {
		return
	}
	known := t.blocks[key]
	if known != nil && e.Trials <= known.trials && !crashedAt.After(known.crashedAt) && t.isExplainedByBlockedPart(key, now) {
		return // hosts that know less repeat their longer block, which would put off the trial
	}
	news := known == nil
	trials := min(max(e.Trials, 0), len(blockTimesIfDoubtful)-1)
	b := t.block(key, min(e.Remaining, max(t.blockTime(key, trials, now), t.trialTime(key, now))), now)
	b.announced = true
	b.crashedAt = later(b.crashedAt, crashedAt)
	if trials > b.trials {
		b.trials, b.since = trials, now
	}
	if news && t.Log != nil {
		t.Log.Warn().Str("key", key).Dur("remaining", e.Remaining).Msg(what(key) + " crashes targets, says another host. Requests with it are refused.")
	}
}

// isExplainedByParts reports whether this host knows crashes under the key of a request and
// parts explain all of them.
func (t *Tracker) isExplainedByParts(key string, now time.Time) bool {
	e := t.evidence(key, now)
	return e.crashes == 0 && e.explained > 0
}

// recordTrial records that a request with the key has crashed a target, and reports whether it
// counts as a trial. Requests that were sent before the block, or beside the same trial, do not.
func (b *block) recordTrial(now time.Time) bool {
	if now.Sub(b.since) < inFlightTime && !b.trialAt.After(b.since) {
		return false
	}
	b.trials, b.since = b.trials+1, now
	return true
}

// dropBlocks drops the blocks that have ended for as long as their keys were blocked, and if
// there are too many, the one that ends first.
func (t *Tracker) dropBlocks(now time.Time) {
	var first string
	for key, b := range t.blocks {
		if now.Sub(b.until) > max(blockTimes[0], blockTimes[min(b.trials, len(blockTimes)-1)]) {
			delete(t.blocks, key)
		} else if first == "" || b.until.Before(t.blocks[first].until) {
			first = key
		}
	}
	if len(t.blocks) >= maxBlocks {
		delete(t.blocks, first)
	}
}

// release ends the block of a key.
func (t *Tracker) release(key, reason string) {
	delete(t.blocks, key)
	for _, c := range t.byKey[key] {
		c.withdraw(key)
		t.markPending(c)
	}
	if t.Log != nil {
		t.Log.Warn().Str("key", key).Str("reason", reason).Msg(what(key) + " is no longer taken to crash targets.")
	}
}

// what names in log lines what a key stands for.
func what(key string) string {
	if isRequest(key) {
		return "Request"
	}
	return "Part of a prompt"
}

// inSentence is what for the middle of a sentence.
func inSentence(key string) string {
	if isRequest(key) {
		return "a request"
	}
	return "a part of a prompt"
}
