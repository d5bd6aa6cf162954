package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a delayed publication of a state change, which would let
// requests go to a leaving target, and against one publication per report,
// which takes a whole core with designTargets targets.
func TestPublisherDelaysOnlyLoadChanges(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	p := newPublisher()
	defer p.timer.Stop()
	now := testTime
	tracker.Apply(engineMembers(designTargets), services, now)
	p.update(tracker, now)
	assert.Equal(t, len(p.current()), designTargets)

	now = now.Add(time.Millisecond)
	tracker.DispatchStarted("chef-000", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 0)
	assert.Assert(t, p.scheduled)

	tracker.Drain("chef-001", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[1].State, Draining)
	assert.Equal(t, p.current()[0].Outstanding, 1)
	assert.Assert(t, !p.scheduled)

	now = now.Add(designTargets * publishIntervalPerTarget)
	tracker.DispatchEnded("chef-000", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 0)
}

// Guards against a delayed publication that never happens.
func TestDelayedPublicationHappens(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	p := newPublisher()
	now := testTime
	tracker.Apply(engineMembers(1), services, now)
	p.update(tracker, now)
	tracker.DispatchStarted("chef-000", now)
	p.update(tracker, now)
	assert.Assert(t, p.scheduled)
	select {
	case <-p.timer.C:
	case <-time.After(5 * time.Second):
		t.Fatal("the timer of the delayed publication did not fire within 5 s")
	}
	p.publish(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 1)
}
