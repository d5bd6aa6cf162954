package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// now is the time of the calls of Pick in the tests, and the time at which the
// simulation starts.
var now = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

const chefService = "chef-llm"

// seededSettings returns the default settings with a fixed random seed.
func seededSettings() Settings {
	s := DefaultSettings()
	s.Rand = rand.New(rand.NewPCG(1, 2))
	return s
}

// readyTarget returns a ready target with 8 slots.
func readyTarget(id string, running, waiting int) target.Status {
	return target.Status{
		Target:   target.Target{ID: id, Service: chefService},
		State:    target.Ready,
		Since:    now.Add(-time.Hour),
		Snapshot: target.Snapshot{Running: running, Waiting: waiting, Capacity: 8, ReportedAt: now},
	}
}

// modified returns a copy of s with f applied.
func modified(s target.Status, f func(*target.Status)) target.Status {
	f(&s)
	return s
}

// Guards against a policy that picks a target which is leaving, failing,
// without a report, excluded or of another service.
func TestOnlyUsableTargets(t *testing.T) {
	policies := []struct {
		desc   string
		policy Policy
	}{
		{"picker", NewPicker(seededSettings())},
		{"round robin", &RoundRobin{}},
		{"least reported", LeastReportedLoad{}},
	}
	unusable := []struct {
		desc   string
		status target.Status
	}{
		{"suspect", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.State = target.Suspect })},
		{"draining", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.State = target.Draining })},
		{"gone", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.State = target.Gone })},
		{"snapshot says draining", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.Snapshot.Draining = true })},
		{"no report yet", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.Snapshot = target.Snapshot{} })},
		{"other service", modified(readyTarget("x", 0, 0), func(s *target.Status) { s.Target.Service = "cantine-app" })},
		{"excluded", readyTarget("tried", 0, 0)},
	}
	for _, p := range policies {
		for _, u := range unusable {
			t.Run(p.desc+"/"+u.desc, func(t *testing.T) {
				req := Request{Service: chefService, Prefix: "menu", Exclude: []string{"tried"}}
				_, refusal := p.policy.Pick(req, []target.Status{u.status}, now)
				assert.Equal(t, refusal.Verdict, verdict.NotRun)
				assert.Equal(t, refusal.Reason, verdict.NoTarget)
				assert.Assert(t, refusal.RetryAfter > 0)
				for range 20 {
					got, refusal := p.policy.Pick(req, []target.Status{u.status, readyTarget("good", 7, 3)}, now)
					assert.Assert(t, refusal == nil)
					assert.Equal(t, got.ID, "good")
				}
			})
		}
	}
}

// Guards against queueing a request that cannot meet its deadline or finds all
// queues full, and against refusing a high priority before a low one.
func TestRefusals(t *testing.T) {
	tests := []struct {
		desc   string
		req    Request
		view   []target.Status
		reason verdict.Reason // empty: no refusal
	}{
		{
			desc: "idle",
			req:  Request{Service: chefService},
			view: []target.Status{readyTarget("a", 0, 0)},
		},
		{
			desc: "short queue, lowest priority",
			req:  Request{Service: chefService, Priority: 0},
			view: []target.Status{readyTarget("a", 8, 3)},
		},
		{
			desc:   "half full queue, lowest priority",
			req:    Request{Service: chefService, Priority: 0},
			view:   []target.Status{readyTarget("a", 8, 8)},
			reason: verdict.Overloaded,
		},
		{
			desc: "half full queue, highest priority",
			req:  Request{Service: chefService, Priority: 9},
			view: []target.Status{readyTarget("a", 8, 8)},
		},
		{
			desc:   "full queue, highest priority",
			req:    Request{Service: chefService, Priority: 9},
			view:   []target.Status{readyTarget("a", 8, 16)},
			reason: verdict.Overloaded,
		},
		{
			desc:   "queue full with this daemon's dispatches since the report",
			req:    Request{Service: chefService, Priority: 9},
			view:   []target.Status{modified(readyTarget("a", 8, 0), func(s *target.Status) { s.DispatchesSinceReport = 16 })},
			reason: verdict.Overloaded,
		},
		{
			desc: "one queue full, another below its limit",
			req:  Request{Service: chefService, Priority: 9},
			view: []target.Status{readyTarget("a", 8, 16), readyTarget("b", 8, 15)},
		},
		{
			desc: "priority out of range counts as the highest",
			req:  Request{Service: chefService, Priority: 99},
			view: []target.Status{readyTarget("a", 8, 15)},
		},
		{
			desc:   "deadline has passed",
			req:    Request{Service: chefService, Deadline: now},
			view:   []target.Status{readyTarget("a", 0, 0)},
			reason: verdict.Deadline,
		},
		{
			desc:   "wait exceeds the deadline",
			req:    Request{Service: chefService, Priority: 9, Deadline: now.Add(time.Second)},
			view:   []target.Status{readyTarget("a", 8, 7)},
			reason: verdict.Deadline,
		},
		{
			desc: "wait is within the deadline",
			req:  Request{Service: chefService, Priority: 9, Deadline: now.Add(3 * time.Second)},
			view: []target.Status{readyTarget("a", 8, 7)},
		},
		{
			desc: "free slot, short deadline",
			req:  Request{Service: chefService, Deadline: now.Add(time.Millisecond)},
			view: []target.Status{readyTarget("a", 7, 0)},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, refusal := NewPicker(seededSettings()).Pick(test.req, test.view, now)
			if test.reason == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				return
			}
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Verdict, verdict.NotRun)
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Assert(t, refusal.RetryAfter <= MaxRetryAfter*5/4)
		})
	}
}

// Guards against dispatching the requests of a prompt prefix to another target,
// which does not have the prefix cached, when an unrelated target leaves.
func TestAffinityIsStable(t *testing.T) {
	var view []target.Status
	for i := range 10 {
		view = append(view, readyTarget(fmt.Sprintf("t%d", i), 2, 0))
	}
	first, _ := NewPicker(seededSettings()).Pick(Request{Service: chefService, Prefix: "menu"}, view, now)
	for i := range view {
		changed := append(append([]target.Status{}, view[:i]...), view[i+1:]...)
		if view[i].Target.ID == first.ID {
			continue
		}
		got, refusal := NewPicker(seededSettings()).Pick(Request{Service: chefService, Prefix: "menu"}, changed, now)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, got.ID, first.ID)
	}
}

// Guards against overloading the target of a popular prefix while others are
// idle.
func TestAffinityAvoidsOverloadedTarget(t *testing.T) {
	view := []target.Status{readyTarget("a", 1, 0), readyTarget("b", 1, 0), readyTarget("c", 1, 0), readyTarget("d", 1, 0)}
	p := NewPicker(seededSettings())
	first, _ := p.Pick(Request{Service: chefService, Prefix: "menu"}, view, now)
	for i := range view {
		if view[i].Target.ID == first.ID {
			view[i].DispatchesSinceReport = 12
		}
	}
	for range 50 {
		got, refusal := p.Pick(Request{Service: chefService, Prefix: "menu"}, view, now)
		assert.Assert(t, refusal == nil)
		assert.Assert(t, got.ID != first.ID)
	}
}

// Guards against not picking the target that has the prompt prefix cached when
// its load is above the mean but still low. Here it runs two requests while the
// other targets are idle.
func TestAffinityAtLowLoad(t *testing.T) {
	view := []target.Status{readyTarget("a", 0, 0), readyTarget("b", 0, 0), readyTarget("c", 0, 0), readyTarget("d", 0, 0)}
	p := NewPicker(seededSettings())
	first, _ := p.Pick(Request{Service: chefService, Prefix: "menu"}, view, now)
	for i := range view {
		if view[i].Target.ID == first.ID {
			view[i].Snapshot.Running = 2
		}
	}
	for range 20 {
		got, refusal := p.Pick(Request{Service: chefService, Prefix: "menu"}, view, now)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, got.ID, first.ID)
	}
}

// Guards against a target with a cold cache receiving full traffic at once, and
// against refusing requests when all targets are in slow start.
func TestSlowStart(t *testing.T) {
	joining := modified(readyTarget("new", 0, 0), func(s *target.Status) {
		s.State = target.Joining
		s.Since = now.Add(-time.Second)
	})
	p := NewPicker(seededSettings())
	p.SetServices(map[string]target.ServiceInfo{chefService: {SlowStart: 10 * time.Second}})
	view := []target.Status{joining, readyTarget("old", 3, 0)}
	got, _ := p.Pick(Request{Service: chefService}, view, now)
	assert.Equal(t, got.ID, "old")
	got, _ = p.Pick(Request{Service: chefService}, view, now.Add(9*time.Second))
	assert.Equal(t, got.ID, "new")
	got, refusal := p.Pick(Request{Service: chefService}, view[:1], now)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, got.ID, "new")
}
