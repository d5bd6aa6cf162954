package route

import (
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// Guards against estimating the waits of a service from the initial execution
// time after execution times were observed. The initial one is that of an
// engine, so requests of a service with short calls would be refused.
func TestObservedExecutionTimeReplacesInitialEstimate(t *testing.T) {
	p := NewPicker(seededSettings())
	view := []target.Status{readyTarget("a", 8, 3)}
	req := Request{Service: chefService, Priority: 9, Deadline: now.Add(100 * time.Millisecond)}
	_, refusal := p.Pick(req, view, now)
	assert.Equal(t, refusal.Reason, verdict.Deadline)
	p.ObserveExecutionTime(chefService, 10*time.Millisecond)
	_, refusal = p.Pick(req, view, now)
	assert.Assert(t, refusal == nil, "%v", refusal)
}

// Guards against an estimate that one long request dominates, that a negative
// time changes, or that depends on another service.
func TestExecutionTimeAverage(t *testing.T) {
	e := newExecutionTimes(2 * time.Second)
	e.observe("a", 100*time.Millisecond)
	assert.Equal(t, e.estimate("a"), 100*time.Millisecond)
	e.observe("a", 2100*time.Millisecond)
	assert.Equal(t, e.estimate("a"), 200*time.Millisecond)
	e.observe("a", -time.Hour)
	assert.Equal(t, e.estimate("a"), 200*time.Millisecond)
	assert.Equal(t, e.estimate("b"), 2*time.Second)
	for range 200 {
		e.observe("a", time.Second)
	}
	assert.Assert(t, e.estimate("a") > 990*time.Millisecond, "%s", e.estimate("a"))
}
