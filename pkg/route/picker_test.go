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

var now = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

const chef = "chef-llm"

// seeded returns settings with a fixed random sequence.
func seeded() Settings {
	s := DefaultSettings()
	s.Rand = rand.New(rand.NewPCG(1, 2))
	return s
}

// engine returns a ready target with capacity 8.
func engine(id string, running, waiting int) target.Status {
	return target.Status{
		Target:   target.Target{ID: id, Service: chef},
		State:    target.Ready,
		Since:    now.Add(-time.Hour),
		Snapshot: target.Snapshot{Running: running, Waiting: waiting, Capacity: 8, ReportedAt: now},
	}
}

// with returns s changed by f.
func with(s target.Status, f func(*target.Status)) target.Status {
	f(&s)
	return s
}

// Guards against work for a target that is leaving, failing, unknown, excluded
// or of another service, under every policy.
func TestOnlyUsableTargets(t *testing.T) {
	policies := []struct {
		desc   string
		policy Policy
	}{
		{"picker", NewPicker(seeded())},
		{"round robin", &RoundRobin{}},
		{"least reported", LeastReported{}},
	}
	unusable := []struct {
		desc   string
		status target.Status
	}{
		{"suspect", with(engine("x", 0, 0), func(s *target.Status) { s.State = target.Suspect })},
		{"draining", with(engine("x", 0, 0), func(s *target.Status) { s.State = target.Draining })},
		{"gone", with(engine("x", 0, 0), func(s *target.Status) { s.State = target.Gone })},
		{"snapshot says draining", with(engine("x", 0, 0), func(s *target.Status) { s.Snapshot.Draining = true })},
		{"no report yet", with(engine("x", 0, 0), func(s *target.Status) { s.Snapshot = target.Snapshot{} })},
		{"other service", with(engine("x", 0, 0), func(s *target.Status) { s.Target.Service = "cantine-app" })},
		{"excluded", engine("tried", 0, 0)},
	}
	for _, p := range policies {
		for _, u := range unusable {
			t.Run(p.desc+"/"+u.desc, func(t *testing.T) {
				req := Request{Service: chef, Prefix: "menu", Exclude: []string{"tried"}}
				_, refusal := p.policy.Pick(req, []target.Status{u.status}, now)
				assert.Equal(t, refusal.Verdict, verdict.NotRun)
				assert.Equal(t, refusal.Reason, verdict.NoTarget)
				assert.Assert(t, refusal.RetryAfter > 0)
				for range 20 {
					got, refusal := p.policy.Pick(req, []target.Status{u.status, engine("good", 7, 3)}, now)
					assert.Assert(t, refusal == nil)
					assert.Equal(t, got.ID, "good")
				}
			})
		}
	}
}

// Guards against a request that waits in vain instead of being refused early,
// and against high priority being refused before low.
func TestRefusals(t *testing.T) {
	tests := []struct {
		desc   string
		req    Request
		view   []target.Status
		reason verdict.Reason // empty: no refusal
	}{
		{
			desc: "idle",
			req:  Request{Service: chef},
			view: []target.Status{engine("a", 0, 0)},
		},
		{
			desc: "short queue, lowest priority",
			req:  Request{Service: chef, Priority: 0},
			view: []target.Status{engine("a", 8, 3)},
		},
		{
			desc:   "half full queue, lowest priority",
			req:    Request{Service: chef, Priority: 0},
			view:   []target.Status{engine("a", 8, 8)},
			reason: verdict.Overloaded,
		},
		{
			desc: "half full queue, highest priority",
			req:  Request{Service: chef, Priority: 9},
			view: []target.Status{engine("a", 8, 8)},
		},
		{
			desc:   "full queue, highest priority",
			req:    Request{Service: chef, Priority: 9},
			view:   []target.Status{engine("a", 8, 16)},
			reason: verdict.Overloaded,
		},
		{
			desc:   "full by own dispatches since the report",
			req:    Request{Service: chef, Priority: 9},
			view:   []target.Status{with(engine("a", 8, 0), func(s *target.Status) { s.SinceReport = 16 })},
			reason: verdict.Overloaded,
		},
		{
			desc: "one queue full, one open",
			req:  Request{Service: chef, Priority: 9},
			view: []target.Status{engine("a", 8, 16), engine("b", 8, 15)},
		},
		{
			desc: "priority out of range counts as the highest",
			req:  Request{Service: chef, Priority: 99},
			view: []target.Status{engine("a", 8, 15)},
		},
		{
			desc:   "deadline has passed",
			req:    Request{Service: chef, Deadline: now},
			view:   []target.Status{engine("a", 0, 0)},
			reason: verdict.Deadline,
		},
		{
			desc:   "wait exceeds the deadline",
			req:    Request{Service: chef, Priority: 9, Deadline: now.Add(time.Second)},
			view:   []target.Status{engine("a", 8, 7)},
			reason: verdict.Deadline,
		},
		{
			desc: "wait is within the deadline",
			req:  Request{Service: chef, Priority: 9, Deadline: now.Add(3 * time.Second)},
			view: []target.Status{engine("a", 8, 7)},
		},
		{
			desc: "free place before a short deadline",
			req:  Request{Service: chef, Deadline: now.Add(time.Millisecond)},
			view: []target.Status{engine("a", 7, 0)},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, refusal := NewPicker(seeded()).Pick(test.req, test.view, now)
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

// Guards against a prefix that wanders between targets, which would lose its cache.
func TestAffinityIsStable(t *testing.T) {
	var view []target.Status
	for i := range 10 {
		view = append(view, engine(fmt.Sprintf("t%d", i), 2, 0))
	}
	first, _ := NewPicker(seeded()).Pick(Request{Service: chef, Prefix: "menu"}, view, now)
	for i := range view {
		changed := append(append([]target.Status{}, view[:i]...), view[i+1:]...)
		if view[i].Target.ID == first.ID {
			continue
		}
		got, refusal := NewPicker(seeded()).Pick(Request{Service: chef, Prefix: "menu"}, changed, now)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, got.ID, first.ID)
	}
}

// Guards against a popular prefix overloading its target while others are idle.
func TestAffinityIsBounded(t *testing.T) {
	view := []target.Status{engine("a", 1, 0), engine("b", 1, 0), engine("c", 1, 0), engine("d", 1, 0)}
	p := NewPicker(seeded())
	first, _ := p.Pick(Request{Service: chef, Prefix: "menu"}, view, now)
	for i := range view {
		if view[i].Target.ID == first.ID {
			view[i].SinceReport = 12
		}
	}
	for range 50 {
		got, refusal := p.Pick(Request{Service: chef, Prefix: "menu"}, view, now)
		assert.Assert(t, refusal == nil)
		assert.Assert(t, got.ID != first.ID)
	}
}

// Guards against a cold target taking a full share at once, and against a
// fleet of new targets being refused work.
func TestSlowStart(t *testing.T) {
	joining := with(engine("new", 0, 0), func(s *target.Status) {
		s.State = target.Joining
		s.Since = now.Add(-time.Second)
	})
	p := NewPicker(seeded())
	p.SetServices(map[string]target.ServiceInfo{chef: {SlowStart: 10 * time.Second}})
	view := []target.Status{joining, engine("old", 3, 0)}
	got, _ := p.Pick(Request{Service: chef}, view, now)
	assert.Equal(t, got.ID, "old")
	got, _ = p.Pick(Request{Service: chef}, view, now.Add(9*time.Second))
	assert.Equal(t, got.ID, "new")
	got, refusal := p.Pick(Request{Service: chef}, view[:1], now)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, got.ID, "new")
}
