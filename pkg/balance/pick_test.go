package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const chef = "chef"

// kitchen returns a set with n targets t0 to t(n-1) of one service.
func kitchen(n int) *Set {
	s := NewSet()
	s.Apply(targets(n))
	return s
}

func targets(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{ID: fmt.Sprintf("t%d", i), Service: chef, Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64}
	}
	return all
}

func prompt(now time.Time, tokens int64, shared string) Request {
	return Request{Service: chef, PromptTokens: tokens, OutputTokens: 100, Now: now,
		Parts: []Part{{ID: shared, Tokens: tokens / 2}, {ID: "own", Tokens: tokens / 2}}}
}

func pick(t *testing.T, s *Set, r Request) *Attempt {
	t.Helper()
	a, err := s.Pick(r)
	assert.NilError(t, err)
	return a
}

// Guards against requests with the same shared part that go to many targets, on
// one host and on several.
func TestSharedPartStaysAtOneTarget(t *testing.T) {
	now := time.Now()
	a, b := kitchen(9), kitchen(9)
	first := pick(t, a, prompt(now, 900, "menu"))
	first.End(now, Served)
	for range 20 {
		for _, s := range []*Set{a, b} {
			attempt := pick(t, s, prompt(now, 900, "menu"))
			assert.Equal(t, attempt.Target.ID, first.Target.ID)
			attempt.End(now, Served)
		}
	}
}

// Guards against a target that gets every request for a popular part.
func TestPopularPartSpreadsUnderLoad(t *testing.T) {
	now := time.Now()
	s := kitchen(8)
	used := map[string]int{}
	for range 64 {
		used[pick(t, s, prompt(now, 900, "menu")).Target.ID]++
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	assert.Assert(t, len(used) >= 2 && most <= 40, "%v", used)
}

// Guards against short requests that wait behind long prompts.
func TestLongPromptsHaveTargetsOfTheirOwn(t *testing.T) {
	now := time.Now()
	s := kitchen(10)
	long, short := map[string]bool{}, map[string]bool{}
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		size, used := int64(800), short
		if i%10 == 0 {
			size, used = 12000, long
		}
		a := pick(t, s, prompt(now, size, fmt.Sprint("part", i%37)))
		if i > 50 {
			used[a.Target.ID] = true
		}
		a.Answered(now, nil)
		a.End(now, Served)
	}
	for id := range long {
		assert.Assert(t, !short[id], "%s has both", id)
	}
	assert.Assert(t, len(long) >= 2 && len(short) >= 2)
}

// Guards against lanes that leave targets idle when there is one kind of request only.
func TestOneKindOfRequestUsesAllTargets(t *testing.T) {
	now := time.Now()
	s := kitchen(6)
	used := map[string]bool{}
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		a := pick(t, s, prompt(now, 800, fmt.Sprint("part", i)))
		used[a.Target.ID] = true
		a.End(now, Served)
	}
	assert.Equal(t, len(used), 6)
}

// Guards against a target that keeps failing and gets new requests, and against
// one that works again and gets none.
func TestFailingTargetIsLeftOutAndTakenBack(t *testing.T) {
	now := time.Now()
	s := kitchen(3)
	first := pick(t, s, prompt(now, 800, "menu"))
	first.End(now, Served)
	bad := first.Target.ID
	for range quarantineAfter {
		a := pick(t, s, prompt(now, 800, "menu"))
		assert.Equal(t, a.Target.ID, bad)
		a.End(now, Broken)
	}
	for range 20 {
		a := pick(t, s, prompt(now, 800, "menu"))
		assert.Assert(t, a.Target.ID != bad)
		a.End(now, Served)
	}
	now = now.Add(2 * maxQuarantine)
	a := pick(t, s, prompt(now, 800, "menu"))
	assert.Equal(t, a.Target.ID, bad)
	a.End(now, Served)
	assert.Equal(t, pick(t, s, prompt(now, 800, "menu")).Target.ID, bad)
}

// Guards against a refusal while targets in quarantine may work again.
func TestQuarantineYieldsIfNothingElseIsLeft(t *testing.T) {
	now := time.Now()
	s := kitchen(1)
	for range quarantineAfter {
		pick(t, s, prompt(now, 800, "menu")).End(now, Broken)
	}
	pick(t, s, prompt(now, 800, "menu"))
}

// Guards against new work for a target that leaves, or whose address another one has.
func TestLeavingAndReplacedTargetsGetNothing(t *testing.T) {
	now := time.Now()
	s := kitchen(2)
	all := targets(2)
	all[0].Draining = true
	s.Apply(all)
	for range 5 {
		assert.Equal(t, pick(t, s, prompt(now, 800, "menu")).Target.ID, "t1")
	}
	pick(t, s, prompt(now, 800, "menu")).End(now, Replaced)
	_, err := s.Pick(prompt(now, 800, "menu"))
	assert.ErrorIs(t, err, ErrNoTarget)
	all[1].Addr = "10.0.0.9:80"
	s.Apply(all)
	assert.Equal(t, pick(t, s, prompt(now, 800, "menu")).Target.ID, "t1")
}

// Guards against a silent target that goes on getting requests because it has
// not failed any.
func TestSilentTargetLosesRequests(t *testing.T) {
	now := time.Now()
	s := kitchen(4)
	silent := pick(t, s, prompt(now, 800, "menu")).Target.ID
	for range 4 {
		pick(t, s, prompt(now, 800, "menu"))
	}
	now = now.Add(4 * time.Second)
	for range 10 {
		a := pick(t, s, prompt(now, 800, "menu"))
		assert.Assert(t, a.Target.ID != silent)
		a.End(now, Served)
	}
}

// Guards against a load that is counted twice when a report comes in.
func TestLoadCountsOwnRequestsSinceTheReport(t *testing.T) {
	now := time.Now()
	s := kitchen(1)
	a := pick(t, s, prompt(now, 800, "menu"))
	a.Answered(now, &Load{Running: 7, Waiting: 1, Slots: 64})
	assert.Equal(t, s.Status(now)[0].Load, 8.0)
	pick(t, s, prompt(now, 800, "menu"))
	assert.Equal(t, s.Status(now)[0].Load, 9.0)
	a.End(now, Served)
	assert.Equal(t, s.Status(now)[0].Load, 8.0)
}

// Guards against what is known of a target that outlives its registration.
func TestNewIDForgetsAll(t *testing.T) {
	now := time.Now()
	s := kitchen(1)
	for range quarantineAfter {
		pick(t, s, prompt(now, 800, "menu")).End(now, Broken)
	}
	renewed := targets(1)
	renewed[0].ID = "t0b"
	s.Apply(renewed)
	assert.Assert(t, s.Status(now)[0].Available)
}
