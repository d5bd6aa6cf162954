package nexthop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait for connections to one host after another when this host reaches none, and against a host that never tries again.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	now := time.Now()
	s := newTestSelector(6)
	fail := func(at time.Time) { s.Pick(testService, nil, at).End(Unreached, at) }
	for range minUnreachedHosts {
		fail(now)
	}
	assert.Assert(t, s.Available(testService, now), "for a moment only")
	now = now.Add(isolationDelay)
	assert.Assert(t, s.Available(testService, now), "one request tries")
	hop := s.Pick(testService, nil, now)
	assert.Assert(t, s.Pick(testService, nil, now) == nil && !s.Available(testService, now))
	hop.End(Cancelled, now)
	assert.Assert(t, !s.Available(testService, now), "a caller who leaves shows nothing")
	now = now.Add(isolationTrialInterval)
	hop = s.Pick(testService, nil, now)
	hop.End(Full, now)
	for range 3 {
		assert.Assert(t, s.Pick(testService, nil, now) != nil, "a host has answered")
	}
}

// Guards against a host that takes itself for isolated because one other host is down.
func TestOneUnreachedHostIsNotIsolation(t *testing.T) {
	now := time.Now()
	s := newTestSelector(4)
	for range 20 {
		s.isolation.record("h0", Unreached, now)
		now = now.Add(100 * time.Millisecond)
	}
	for range 2 {
		assert.Assert(t, s.Pick(testService, nil, now) != nil)
	}
}
