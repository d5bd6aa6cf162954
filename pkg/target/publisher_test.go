package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leaving target that traffic still sees as ready, and
// against a publication per report, which costs a core at design size.
func TestPublisherGap(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	p := newPublisher()
	defer p.timer.Stop()
	now := receivedAt
	tracker.Apply(engineMembers(designTargets), services, now)
	p.update(tracker, now)
	assert.Equal(t, len(p.current()), designTargets)

	now = now.Add(time.Millisecond)
	tracker.Started("chef-000", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 0)
	assert.Assert(t, p.scheduled)

	tracker.Drain("chef-001", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[1].State, Draining)
	assert.Equal(t, p.current()[0].Outstanding, 1)
	assert.Assert(t, !p.scheduled)

	now = now.Add(designTargets * publishIntervalPerTarget)
	tracker.Ended("chef-000", now)
	p.update(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 0)
}

// Guards against postponed loads that are never published.
func TestPostponedPublication(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	p := newPublisher()
	now := receivedAt
	tracker.Apply(engineMembers(1), services, now)
	p.update(tracker, now)
	tracker.Started("chef-000", now)
	p.update(tracker, now)
	assert.Assert(t, p.scheduled)
	select {
	case <-p.timer.C:
	case <-time.After(5 * time.Second):
		t.Fatal("the timer did not fire")
	}
	p.publish(tracker, now)
	assert.Equal(t, p.current()[0].Outstanding, 1)
}
