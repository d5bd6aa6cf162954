package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testService = "chef"

// newTestSet returns a set with n targets t0 to t(n-1) of one service.
func newTestSet(n int) *Set {
	s := NewSet()
	s.Apply(testTargets(n))
	return s
}

func testTargets(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{ID: fmt.Sprintf("t%d", i), Service: testService, Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64}
	}
	return all
}

func promptRequest(now time.Time, tokens int64, shared string) Request {
	return Request{Service: testService, PromptTokens: tokens, OutputTokens: 100, Now: now,
		Parts: []Part{{ID: shared, Tokens: tokens / 2}, {ID: "own", Tokens: tokens / 2}}}
}

func pick(t *testing.T, s *Set, r Request) *Attempt {
	t.Helper()
	a, err := s.Pick(r)
	assert.NilError(t, err)
	return a
}

// Guards against requests with the same shared part that are spread over many
// targets, on one host and on several.
func TestSharedPartStaysAtOneTarget(t *testing.T) {
	now := time.Now()
	a, b := newTestSet(9), newTestSet(9)
	first := pick(t, a, promptRequest(now, 900, "menu"))
	first.End(now, Served)
	for range 20 {
		for _, s := range []*Set{a, b} {
			attempt := pick(t, s, promptRequest(now, 900, "menu"))
			assert.Equal(t, attempt.Target.ID, first.Target.ID)
			attempt.End(now, Served)
		}
	}
}

// Guards against a target that gets all requests with a popular prompt part.
func TestPopularPartSpreadsUnderLoad(t *testing.T) {
	now := time.Now()
	s := newTestSet(8)
	used := map[string]int{}
	for range 64 {
		used[pick(t, s, promptRequest(now, 900, "menu")).Target.ID]++
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	assert.Assert(t, len(used) >= 2 && most <= 40, "%v", used)
}

// Guards against short requests that wait behind long prompts.
func TestLongAndShortPromptsUseSeparateTargets(t *testing.T) {
	now := time.Now()
	s := newTestSet(10)
	long, short := map[string]bool{}, map[string]bool{}
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		tokens, used := int64(800), short
		if i%10 == 0 {
			tokens, used = 12000, long
		}
		a := pick(t, s, promptRequest(now, tokens, fmt.Sprint("part", i%37)))
		if i > 50 {
			used[a.Target.ID] = true
		}
		a.FirstByteReceived(now, nil)
		a.End(now, Served)
	}
	for id := range long {
		assert.Assert(t, !short[id], "target %s got long and short prompts", id)
	}
	assert.Assert(t, len(long) >= 2 && len(short) >= 2)
}

// Guards against pools that leave targets idle when all prompts are short.
func TestShortPromptsAloneUseAllTargets(t *testing.T) {
	now := time.Now()
	s := newTestSet(6)
	used := map[string]bool{}
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		a := pick(t, s, promptRequest(now, 800, fmt.Sprint("part", i)))
		used[a.Target.ID] = true
		a.End(now, Served)
	}
	assert.Equal(t, len(used), 6)
}

// Guards against a target that keeps failing but still gets requests, and against
// one that has recovered but gets none.
func TestFailingTargetIsQuarantinedUntilItServesAgain(t *testing.T) {
	now := time.Now()
	s := newTestSet(3)
	first := pick(t, s, promptRequest(now, 800, "menu"))
	first.End(now, Served)
	failing := first.Target.ID
	for range quarantineAfter {
		a := pick(t, s, promptRequest(now, 800, "menu"))
		assert.Equal(t, a.Target.ID, failing)
		a.End(now, Broken)
	}
	for range 20 {
		a := pick(t, s, promptRequest(now, 800, "menu"))
		assert.Assert(t, a.Target.ID != failing)
		a.End(now, Served)
	}
	now = now.Add(2 * maxQuarantine)
	a := pick(t, s, promptRequest(now, 800, "menu"))
	assert.Equal(t, a.Target.ID, failing)
	a.End(now, Served)
	assert.Equal(t, pick(t, s, promptRequest(now, 800, "menu")).Target.ID, failing)
}

// Guards against requests that are refused because all targets are quarantined,
// although the targets may have recovered.
func TestQuarantinedTargetIsUsedWhenNoOtherIsAvailable(t *testing.T) {
	now := time.Now()
	s := newTestSet(1)
	for range quarantineAfter {
		pick(t, s, promptRequest(now, 800, "menu")).End(now, Broken)
	}
	pick(t, s, promptRequest(now, 800, "menu"))
}

// Guards against requests to a target that is draining, or whose address belongs
// to another target.
func TestDrainingAndReplacedTargetsGetNoRequests(t *testing.T) {
	now := time.Now()
	s := newTestSet(2)
	all := testTargets(2)
	all[0].Draining = true
	s.Apply(all)
	for range 5 {
		assert.Equal(t, pick(t, s, promptRequest(now, 800, "menu")).Target.ID, "t1")
	}
	pick(t, s, promptRequest(now, 800, "menu")).End(now, Replaced)
	_, err := s.Pick(promptRequest(now, 800, "menu"))
	assert.ErrorIs(t, err, ErrNoTarget)
	all[1].Addr = "10.0.0.9:80"
	s.Apply(all)
	assert.Equal(t, pick(t, s, promptRequest(now, 800, "menu")).Target.ID, "t1")
}

// Guards against an unresponsive target that still gets requests because none of
// them has failed.
func TestUnresponsiveTargetGetsNoNewRequests(t *testing.T) {
	now := time.Now()
	s := newTestSet(4)
	unresponsive := pick(t, s, promptRequest(now, 800, "menu")).Target.ID
	for range 4 {
		pick(t, s, promptRequest(now, 800, "menu"))
	}
	now = now.Add(4 * time.Second)
	for range 10 {
		a := pick(t, s, promptRequest(now, 800, "menu"))
		assert.Assert(t, a.Target.ID != unresponsive)
		a.End(now, Served)
	}
}

// Guards against requests that are counted both in a load report and as started
// since the report.
func TestLoadCountsOwnRequestsSinceTheReport(t *testing.T) {
	now := time.Now()
	s := newTestSet(1)
	a := pick(t, s, promptRequest(now, 800, "menu"))
	a.FirstByteReceived(now, &Load{Running: 7, Waiting: 1, Slots: 64})
	assert.Equal(t, s.Status(now)[0].Load, 8.0)
	pick(t, s, promptRequest(now, 800, "menu"))
	assert.Equal(t, s.Status(now)[0].Load, 9.0)
	a.End(now, Served)
	assert.Equal(t, s.Status(now)[0].Load, 8.0)
}

// Guards against failures of a target that still count after it has restarted with
// a new ID.
func TestNewTargetIDStartsWithoutFailureHistory(t *testing.T) {
	now := time.Now()
	s := newTestSet(1)
	for range quarantineAfter {
		pick(t, s, promptRequest(now, 800, "menu")).End(now, Broken)
	}
	restarted := testTargets(1)
	restarted[0].ID = "t0b"
	s.Apply(restarted)
	assert.Assert(t, s.Status(now)[0].Available)
}

// Guards against a request that tries one target after another for which this host has no connection left, and is refused although another target has one.
func TestTargetWithoutConnectionIsPassedOver(t *testing.T) {
	now := time.Now()
	s := newTestSet(9)
	r := promptRequest(now, 900, "menu")
	for _, target := range testTargets(9) {
		r.Reachable = func(other Target) bool { return other.ID == target.ID }
		assert.Equal(t, pick(t, s, r).Target.ID, target.ID)
	}
	r.Reachable = func(Target) bool { return false }
	_, err := s.Pick(r)
	assert.ErrorIs(t, err, ErrNoConnection)
	assert.ErrorIs(t, err, ErrNoTarget)
}
