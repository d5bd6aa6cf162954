package crashparts

import (
	"slices"
	"time"
)

// evidence is what the crashes that count say about a part.
type evidence struct {
	part    string
	crashes int
	depth   int // largest position of the part in a prompt; 0 is the first part
}

// evaluate blocks the parts that explain crashes, strongest first. A crash counts once it
// is confirmed, and only for the part that explains it: the other parts belong to requests
// that broke off because of it.
func (t *Tracker) evaluate(now time.Time) {
	if !t.hasNewlyConfirmed(now) {
		return
	}
	for {
		strongest := t.strongest(now)
		if strongest == nil {
			return
		}
		t.block(strongest.part, t.blockTime(strongest.part, now), now)
		if t.Log != nil {
			t.Log.Warn().Str("part", strongest.part).Int("crashes", strongest.crashes).Msg("Part of a prompt crashes targets. Requests with it are refused.")
		}
		t.announce(Event{Kind: Blocked, Parts: []string{strongest.part}, Remaining: t.blockTime(strongest.part, now)})
	}
}

// hasNewlyConfirmed reports whether a crash counts for the first time.
func (t *Tracker) hasNewlyConfirmed(now time.Time) bool {
	found := false
	for _, c := range t.crashes {
		if !c.evaluated && now.Sub(c.at) >= confirmTime {
			c.evaluated, found = true, true
		}
	}
	return found
}

// strongest returns the part under which the most targets have crashed of those that have
// reached their limit, nil if there is none. Of parts with as many, it is the one furthest
// from the start of the prompt, which fewer sound requests have.
func (t *Tracker) strongest(now time.Time) *evidence {
	byPart := make(map[string]*evidence)
	for _, c := range t.crashes {
		if c.explained || now.Sub(c.at) < confirmTime {
			continue
		}
		for _, p := range c.parts {
			if !c.at.After(t.answeredAt.get(p.key)) {
				continue
			}
			e := byPart[p.key]
			if e == nil {
				e = &evidence{part: p.key}
				byPart[p.key] = e
			}
			e.crashes++
			e.depth = max(e.depth, p.depth)
		}
	}
	var best *evidence
	for _, e := range byPart {
		if e.crashes >= t.limit(e.part, now) && (best == nil || e.outweighs(best)) {
			best = e
		}
	}
	return best
}

// outweighs orders evidence by crashes and depth, and by key so that all hosts agree.
func (e *evidence) outweighs(other *evidence) bool {
	switch {
	case e.crashes != other.crashes:
		return e.crashes > other.crashes
	case e.depth != other.depth:
		return e.depth > other.depth
	}
	return e.part < other.part
}

// limit returns the number of crashes from which a part is blocked.
func (t *Tracker) limit(part string, now time.Time) int {
	if t.answeredWithin(part, answeredTTL, now) {
		return maxCrashesIfAnswered
	}
	return maxCrashes
}

func (t *Tracker) blockTime(part string, now time.Time) time.Duration {
	if t.answeredWithin(part, answeredTTL, now) {
		return blockTimeIfAnswered
	}
	return blockTime
}

// block blocks a part until now + duration at least. The crashes under it are explained.
func (t *Tracker) block(part string, duration time.Duration, now time.Time) {
	b := t.blocks[part]
	if b == nil {
		b = &block{lastCrashAt: now}
		t.blocks[part] = b
	}
	b.until = later(b.until, now.Add(duration))
	for _, c := range t.crashes {
		c.explained = c.explained || c.has(part)
	}
}

// adoptBlock blocks a part that another host has blocked, unless this host has an answer
// that speaks against it.
func (t *Tracker) adoptBlock(part string, remaining time.Duration, now time.Time) {
	if t.answeredWithin(part, answerReplyAge, now) {
		t.reply(part, now)
		return
	}
	news := t.blocks[part] == nil
	t.block(part, min(remaining, blockTime), now)
	if news && t.Log != nil {
		t.Log.Warn().Str("part", part).Msg("Part of a prompt crashes targets, says another host. Requests with it are refused.")
	}
}

// release ends the block of a part.
func (t *Tracker) release(part, reason string) {
	delete(t.blocks, part)
	for _, c := range t.crashes {
		c.explained = slices.ContainsFunc(c.parts, func(p promptPart) bool { return t.blocks[p.key] != nil })
	}
	if t.Log != nil {
		t.Log.Warn().Str("part", part).Str("reason", reason).Msg("Part of a prompt is no longer taken to crash targets.")
	}
}
