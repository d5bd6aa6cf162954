package balance

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func anyRequest(now time.Time) Request { return Request{Service: testService, Now: now} }

// picked returns how many of n requests each target gets; their attempts end at once.
func picked(t *testing.T, s *Set, now time.Time, n int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		a := pick(t, s, anyRequest(now))
		counts[a.Target.ID]++
		a.End(now, Served)
	}
	return counts
}

// Guards against a target that has said that it leaves and gets requests again because an older registration of it comes back: by the feed, after it had lapsed, or from an earlier start.
func TestLeavingTargetStaysWithoutRequests(t *testing.T) {
	now := time.Now()
	s := newTestSet(2)
	s.RecordLeaving("t0", 0, now)
	assert.Equal(t, picked(t, s, now, 50)["t0"], 0)
	s.Apply(testTargets(2))
	assert.Equal(t, picked(t, s, now, 50)["t0"], 0)
	s.Apply(testTargets(2)[1:])
	s.Apply(testTargets(2))
	assert.Equal(t, picked(t, s, now, 50)["t0"], 0)

	restarted := testTargets(2)
	restarted[0].Born = 2
	s.Apply(restarted)
	assert.Assert(t, picked(t, s, now, 50)["t0"] > 0, "a new start of the target gets no requests")
	s.RecordLeaving("t0", 2, now)
	older := testTargets(2)
	older[0].Born = 1
	s.Apply(older)
	assert.Equal(t, picked(t, s, now, 50)["t0"], 0)
}

// Guards against other hosts that go on sending to a target that has told this one that it leaves, and against telling them with each answer.
func TestLeavingIsAnnouncedOnce(t *testing.T) {
	now := time.Now()
	s := newTestSet(1)
	announced := 0
	s.AnnounceLeaving = func(id string, born int64) {
		assert.Equal(t, id, "t0")
		announced++
	}
	a, b := pick(t, s, anyRequest(now)), pick(t, s, anyRequest(now))
	assert.Assert(t, a.Leaving(now))
	assert.Assert(t, !b.Leaving(now))
	assert.Equal(t, announced, 1)
	_, err := s.Pick(anyRequest(now))
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against requests for a target that has asked for a pause, also when no other target is left, and against a refusal that does not tell when the pause ends.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	now := time.Now()
	s := newTestSet(2)
	a := pick(t, s, anyRequest(now))
	a.Pause(now, 2*time.Second)
	a.End(now, Rejected)
	other := picked(t, s, now, 20)
	assert.Equal(t, other[a.Target.ID], 0)
	b := pick(t, s, anyRequest(now))
	b.Pause(now, 3*time.Second)
	b.End(now, Rejected)
	_, err := s.Pick(anyRequest(now.Add(1900 * time.Millisecond)))
	var paused *WaitError
	assert.Assert(t, errors.As(err, &paused), "%v", err)
	assert.Assert(t, paused.Wait >= 100*time.Millisecond && paused.Wait <= 700*time.Millisecond, "%v", paused.Wait)
	assert.Equal(t, picked(t, s, now.Add(2600*time.Millisecond), 5)[a.Target.ID], 5)
}

// Guards against a target that gets the requests of the whole fleet at the moment at which its pause ends.
func TestHostsReturnSpreadAfterPause(t *testing.T) {
	now := time.Now()
	const hosts = 200
	back := 0
	for range hosts {
		s := newTestSet(1)
		a := pick(t, s, anyRequest(now))
		a.Pause(now, 4*time.Second)
		a.End(now, Rejected)
		if _, err := s.Pick(anyRequest(now.Add(4250 * time.Millisecond))); err == nil {
			back++
		}
		_, err := s.Pick(anyRequest(now.Add(3999 * time.Millisecond)))
		assert.ErrorIs(t, err, ErrNoTarget)
		_, err = s.Pick(anyRequest(now.Add(5001 * time.Millisecond)))
		assert.NilError(t, err)
	}
	assert.Assert(t, back > hosts/10 && back < hosts/2, "%d of %d hosts are back after a quarter of the spread", back, hosts)
}

// Guards against a pause without end.
func TestPauseIsBounded(t *testing.T) {
	now := time.Now()
	s := newTestSet(1)
	a := pick(t, s, anyRequest(now))
	a.Pause(now, 24*time.Hour)
	a.End(now, Rejected)
	pick(t, s, anyRequest(now.Add(MaxPause+maxResumeSpread)))
}

// Guards against requests to targets of an evacuated failure domain that register during the evacuation, and when no other target can take them.
func TestTargetsOfEvacuatedDomainGetNoRequests(t *testing.T) {
	now := time.Now()
	s := newTestSet(2)
	targets := testTargets(2)
	targets[0].FailureDomain = "nord"
	s.SetEvacuated(map[string]bool{"nord": true})
	s.Apply(targets)
	assert.Equal(t, picked(t, s, now, 50)["t0"], 0)
	s.RecordLeaving("t1", 0, now)
	_, err := s.Pick(anyRequest(now))
	assert.ErrorIs(t, err, ErrNoTarget)
	assert.Equal(t, s.Unavailable(testService, now), "t0:evacuated, t1:leaving")
	s.SetEvacuated(nil)
	assert.Assert(t, picked(t, s, now, 50)["t0"] > 0)
}
