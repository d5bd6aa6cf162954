package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"pgregory.net/rapid"
)

// drawView draws up to 6 targets in any state. rapid draws small numbers more
// often than large ones, so a rare condition, such as a missing report, is tied
// to the largest number of a range.
func drawView(t *rapid.T) []target.Status {
	states := []target.State{target.Joining, target.Ready, target.Ready, target.Suspect, target.Draining, target.Gone}
	view := make([]target.Status, rapid.SampledFrom([]int{0, 1, 2, 4, 6}).Draw(t, "targets"))
	for i := range view {
		reported := now.Add(-time.Second)
		if rapid.IntRange(0, 9).Draw(t, "unreported") == 9 {
			reported = time.Time{}
		}
		view[i] = target.Status{
			Target: target.Target{ID: fmt.Sprintf("t%d", i), Service: rapid.SampledFrom([]string{chefService, chefService, chefService, "other"}).Draw(t, "service")},
			State:  rapid.SampledFrom(states).Draw(t, "state"),
			Since:  now.Add(-time.Duration(rapid.IntRange(-5, 60).Draw(t, "since")) * time.Second),
			Snapshot: target.Snapshot{
				Running:    rapid.IntRange(0, 8).Draw(t, "running"),
				Waiting:    rapid.IntRange(0, 40).Draw(t, "waiting"),
				Capacity:   rapid.IntRange(0, 8).Draw(t, "capacity"),
				Draining:   rapid.IntRange(0, 9).Draw(t, "draining") == 9,
				ReportedAt: reported,
			},
			DispatchesSinceReport: rapid.IntRange(0, 10).Draw(t, "since report"),
		}
	}
	return view
}

// drawRequest draws a request with any priority and deadline, including values
// out of range and deadlines in the past.
func drawRequest(t *rapid.T) Request {
	req := Request{
		Service:  chefService,
		Prefix:   rapid.SampledFrom([]string{"", "menu", "ration"}).Draw(t, "prefix"),
		Priority: rapid.IntRange(-1, NumPriorities).Draw(t, "priority"),
		Exclude:  rapid.SliceOfN(rapid.SampledFrom([]string{"t0", "t1", "t2"}), 0, 2).Draw(t, "exclude"),
	}
	if rapid.Bool().Draw(t, "with deadline") {
		req.Deadline = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	return req
}

// Guards against picking an unusable target, refusing with another verdict than
// not_run or with an excessive RetryAfter, and refusing a priority when a lower
// one is served.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, req := drawView(t), drawRequest(t)
		p := NewPicker(seededSettings())
		p.SetServices(map[string]target.ServiceInfo{chefService: {SlowStart: 30 * time.Second}})
		picked, refusal := p.Pick(req, view, now)
		if refusal != nil {
			checkRefusal(t, refusal)
			return
		}
		checkPicked(t, req, view, picked)
		req.Priority++
		if _, refusal := p.Pick(req, view, now); refusal != nil {
			t.Fatalf("priority %d is refused although %d was served: %v", req.Priority, req.Priority-1, refusal)
		}
	})
}

// checkRefusal checks the verdict, the reason and the RetryAfter of a refusal.
func checkRefusal(t *rapid.T, refusal *verdict.Error) {
	reasons := []verdict.Reason{verdict.NoTarget, verdict.Overloaded, verdict.Deadline}
	if refusal.Verdict != verdict.NotRun || !slices.Contains(reasons, refusal.Reason) {
		t.Fatalf("refused with verdict %s and reason %s", refusal.Verdict, refusal.Reason)
	}
	if refusal.RetryAfter < 0 || refusal.RetryAfter > MaxRetryAfter*5/4 {
		t.Fatalf("RetryAfter %s is out of range", refusal.RetryAfter)
	}
}

// checkPicked checks that the picked target is in the view and usable for the
// request.
func checkPicked(t *rapid.T, req Request, view []target.Status, picked target.Target) {
	index := slices.IndexFunc(view, func(s target.Status) bool { return s.Target == picked })
	if index < 0 {
		t.Fatalf("picked target %s is not in the view", picked.ID)
	}
	s := view[index]
	takesWork := s.State == target.Ready || s.State == target.Joining
	if !takesWork || s.Snapshot.Draining || s.Snapshot.ReportedAt.IsZero() || s.Target.Service != req.Service {
		t.Fatalf("picked an unusable target: %+v", s)
	}
	if slices.Contains(req.Exclude, picked.ID) {
		t.Fatalf("picked the excluded target %s", picked.ID)
	}
}
