package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failToReach sends a request to each of n targets, none of which can be reached.
func failToReach(t *testing.T, s *Set, now time.Time, n int) {
	t.Helper()
	r := anyRequest(now)
	for range n {
		a := pick(t, s, r)
		a.End(now, Unreached)
		r.Excluded = append(r.Excluded, a.Target.ID)
	}
}

// Guards against requests that try one target after another on a host that reaches none of them, and against a host that takes a few failed targets for a lost path.
func TestPathIsLostWhenNoTargetIsReached(t *testing.T) {
	now := time.Now()
	s := newTestSet(10)
	failToReach(t, s, now, minUnreachedTargets)
	assert.Assert(t, !s.PathLost(testService, now), "at once")
	assert.Assert(t, s.PathLost(testService, now.Add(pathLossDelay)))
	s.RecordReached(testService)
	assert.Assert(t, !s.PathLost(testService, now.Add(pathLossDelay)))

	failToReach(t, s, now, minUnreachedTargets-1)
	later := now.Add(time.Minute)
	failToReach(t, s, later, minUnreachedTargets-1)
	pick(t, s, anyRequest(later)).FirstByteReceived(later, nil)
	assert.Assert(t, !s.PathLost(testService, later), "a target has answered")
}

// Guards against a path to a service with few targets that is never taken for lost, and against a service without targets for which it is.
func TestPathToFewTargetsIsLost(t *testing.T) {
	now := time.Now()
	s := newTestSet(2)
	failToReach(t, s, now, 2)
	assert.Assert(t, s.PathLost(testService, now.Add(pathLossDelay)))
	assert.Equal(t, len(s.LostPaths(now.Add(pathLossDelay))[testService]), 2)
	assert.Assert(t, !s.PathLost("unknown", now))
	s.Apply(nil)
	assert.Assert(t, !s.PathLost(testService, now.Add(pathLossDelay)))
}

// Guards against a host that leaves the rotation although it serves another service, and one that stays in it although it serves none.
func TestAllPathsAreLostOnlyWithoutAnyService(t *testing.T) {
	now := time.Now()
	s := NewSet()
	s.Apply(append(testTargets(1), Target{ID: "other", Service: "other", Addr: "10.0.1.1:80"}))
	assert.Assert(t, !s.AllPathsLost(now), "nothing was tried")
	failToReach(t, s, now, 1)
	lostAt := now.Add(pathLossDelay)
	assert.Assert(t, s.AllPathsLost(lostAt))
	served := pick(t, s, Request{Service: "other", Now: lostAt})
	served.End(lostAt, Served)
	assert.Assert(t, !s.AllPathsLost(lostAt))
	assert.Assert(t, s.AllPathsLost(lostAt.Add(serviceUseTime+1)), "the other service is not used any longer")
}
