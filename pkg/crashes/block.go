package crashes

import "time"

const (
	// blockTime is how long a key is blocked after its last crash. It is much longer than
	// crashed targets take to be available again.
	blockTime = 2 * time.Minute
	// blockTimeIfAnswered replaces blockTime for a key that had answers, which is more
	// likely to be sound.
	blockTimeIfAnswered = time.Second
	// trialTime is how long a key stays blocked at most after a request was let through to
	// see whether it still crashes targets. The request may never reach a target.
	trialTime = 10 * time.Second
)

// block is a key whose requests are refused.
type block struct {
	until       time.Time
	lastCrashAt time.Time
}

// blockTime returns how long a key is blocked after a crash.
func (t *Tracker) blockTime(key string, now time.Time) time.Duration {
	if t.answeredWithin(key, answeredTTL, now) {
		return blockTimeIfAnswered
	}
	return blockTime
}

// block blocks a key until now + duration at least. The crashes under it are explained.
func (t *Tracker) block(key string, duration time.Duration, now time.Time) *block {
	b := t.blocks[key]
	if b == nil {
		b = &block{lastCrashAt: now}
		t.blocks[key] = b
	}
	b.until = later(b.until, now.Add(duration))
	for _, c := range t.byKey[key] {
		c.explains(key)
	}
	return b
}

// adoptBlock blocks a key that another host has blocked, unless this host has an answer that
// speaks against it.
func (t *Tracker) adoptBlock(key string, remaining time.Duration, now time.Time) {
	if t.answeredWithin(key, answerReplyAge, now) {
		t.reply(key, now)
		return
	}
	news := t.blocks[key] == nil
	t.block(key, min(remaining, blockTime), now)
	if news && t.Log != nil {
		t.Log.Warn().Str("key", key).Dur("remaining", remaining).Msg(what(key) + " crashes targets, says another host. Requests with it are refused.")
	}
}

// release ends the block of a key.
func (t *Tracker) release(key, reason string) {
	delete(t.blocks, key)
	for _, c := range t.byKey[key] {
		c.withdraw(key)
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
