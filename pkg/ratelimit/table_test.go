package ratelimit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testTarget = Target{ID: "t0", Born: 7}

// Guards against a limit that is dropped because of an answer to a request that was sent before the limit was known, and one that comes back the same way after it has ended.
func TestAnswerToEarlierRequestDoesNotChangeLimit(t *testing.T) {
	now := time.Now()
	limits := make(table)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	_, changed := limits.observe(testTarget, 5, true, at(0), at(100))
	assert.Assert(t, changed)
	_, changed = limits.observe(testTarget, 0, false, at(50), at(200))
	assert.Assert(t, !changed)
	_, changed = limits.observe(testTarget, 0, false, at(150), at(300))
	assert.Assert(t, changed, "the limit has ended")
	_, changed = limits.observe(testTarget, 5, true, at(200), at(400))
	assert.Assert(t, !changed)
	_, limited := limits.limited(testTarget)
	assert.Assert(t, !limited)
	_, changed = limits.observe(testTarget, 6, true, at(350), at(500))
	assert.Assert(t, changed, "the target names a limit again")
	limit, limited := limits.limited(testTarget)
	assert.Assert(t, limited)
	assert.Equal(t, limit.PerSecond, 6.0)
}

// Guards against hosts that go on with different limits after they have heard all statements, in whatever order and however often.
func TestHostsAgreeOnLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		hosts := make([]table, 4)
		for i := range hosts {
			hosts[i] = make(table)
		}
		var said []Limit
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			host := hosts[rapid.IntRange(0, 3).Draw(t, "host")]
			if len(said) > 0 && rapid.Bool().Draw(t, "receive") {
				host.receive(said[rapid.IntRange(0, len(said)-1).Draw(t, "statement")], now)
				continue
			}
			rate := float64(rapid.IntRange(0, 3).Draw(t, "rate"))
			if limit, changed := host.observe(testTarget, rate, rapid.Bool().Draw(t, "named"), now, now); changed {
				said = append(said, limit)
			}
		}
		for _, host := range hosts {
			for _, limit := range said {
				host.receive(limit, now)
			}
		}
		for _, host := range hosts[1:] {
			first, knownFirst := hosts[0].limited(testTarget)
			other, known := host.limited(testTarget)
			assert.Equal(t, known, knownFirst)
			assert.Equal(t, other.PerSecond, first.PerSecond)
		}
	})
}

// Guards against a malformed statement of another host that is believed, or that makes all later ones look old.
func TestMalformedLimitIsIgnored(t *testing.T) {
	now := time.Now()
	for name, limit := range map[string]Limit{
		"no target":     {PerSecond: 1, Revision: 1},
		"no revision":   {Target: testTarget, PerSecond: 1},
		"high revision": {Target: testTarget, PerSecond: 1, Revision: math.MaxUint64},
		"negative":      {Target: testTarget, PerSecond: -1, Revision: 1},
		"infinite":      {Target: testTarget, PerSecond: math.Inf(1), Revision: 1},
		"not a number":  {Target: testTarget, PerSecond: math.NaN(), Revision: 1},
		"ended before":  {Target: testTarget, Ended: true, Revision: 3},
	} {
		limits := make(table)
		assert.Assert(t, !limits.receive(limit, now), name)
		assert.Equal(t, len(limits), 0, name)
	}
}

// Guards against limits of targets that are gone and are kept for ever, and against one that is forgotten because its target gets few requests.
func TestLimitIsForgottenAfterItsTTL(t *testing.T) {
	now := time.Now()
	limits := make(table)
	limits.observe(testTarget, 0.1, true, now, now)
	limits.prune(now.Add(limitTTL))
	assert.Equal(t, len(limits), 1)
	limits.prune(now.Add(limitTTL + 1))
	assert.Equal(t, len(limits), 0)
}

// Guards against a datagram for each answer of a target whose rate changes a little all the time.
func TestSmallChangesAreAnnouncedRarely(t *testing.T) {
	now := time.Now()
	limits := make(table)
	announced := 0
	for i := range 100 {
		sentAt := now
		now = now.Add(20 * time.Millisecond)
		if _, changed := limits.observe(testTarget, 10+0.01*float64(i%7), true, sentAt.Add(time.Millisecond), now); changed && limits.announce(testTarget, now) {
			announced++
		}
	}
	assert.Assert(t, announced >= 2 && announced <= 3, "%d announcements in 2 s", announced)
	_, changed := limits.observe(testTarget, 20, true, now.Add(time.Millisecond), now.Add(2*time.Millisecond))
	assert.Assert(t, changed)
	assert.Assert(t, limits.announce(testTarget, now), "a large change is announced at once")
}
