package target

import (
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"gotest.tools/v3/assert"
)

const slowStart = 5 * time.Second

var services = map[string]ServiceInfo{
	"chef-llm":    {Kind: PromText, Fenced: true, SlowStart: slowStart},
	"cantine-app": {Kind: Service},
}

// fixture applies events of one target, "a", to a tracker with a simulated
// clock.
type fixture struct {
	*Tracker
	now time.Time
}

func newFixture() *fixture {
	return &fixture{Tracker: NewTracker(DefaultLimits()), now: testTime}
}

func (f *fixture) list(state storage.MemberState) { f.listAt(state, "10.0.0.1:80") }

func (f *fixture) listAt(state storage.MemberState, addr string) {
	m := storage.Member{ID: "a", Kind: storage.TargetMember, Addr: addr, Service: "chef-llm", State: state}
	f.Apply([]storage.Member{m}, services, f.now)
}

func (f *fixture) unlist() { f.Apply(nil, services, f.now) }
func (f *fixture) report() { f.Report("a", Snapshot{Running: 1, Capacity: 8}, f.now) }
func (f *fixture) reportDraining() {
	f.Report("a", Snapshot{Running: 1, Capacity: 8, Draining: true}, f.now)
}
func (f *fixture) failReport()       { f.ReportFailed("a", f.now) }
func (f *fixture) refuseConnection() { f.DispatchFailed("a", f.now) }
func (f *fixture) drain()            { f.Drain("a", f.now) }

func (f *fixture) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.Tick(f.now)
}

// makeReady lists the target and completes its slow start.
func (f *fixture) makeReady() {
	f.list(storage.MemberLive)
	f.report()
	f.wait(slowStart)
}

// failUntilGone lets reports fail until the target is gone.
func (f *fixture) failUntilGone() {
	f.failReport()
	f.wait(DefaultGoneAfter)
	f.failReport()
}

// state returns the state of the target, or "" if the tracker does not know it.
func (f *fixture) state() State {
	for _, s := range f.View() {
		if s.Target.ID == "a" {
			return s.State
		}
	}
	return ""
}

// Guards against giving work to targets that are leaving, failing or have never
// reported, and against withholding work from targets that serve.
func TestLifeCycle(t *testing.T) {
	tests := []struct {
		desc string
		run  func(f *fixture)
		want State
	}{
		{"listed", func(f *fixture) { f.list(storage.MemberLive) }, Joining},
		{"first report", func(f *fixture) { f.list(storage.MemberLive); f.report() }, Joining},
		{"slow start over", func(f *fixture) { f.makeReady() }, Ready},
		{"slow start counts from the first report", func(f *fixture) {
			f.list(storage.MemberLive)
			f.wait(slowStart)
			f.report()
		}, Joining},
		{"report of an unlisted target", func(f *fixture) { f.report() }, ""},
		{"listed as leaving when first listed", func(f *fixture) { f.list(storage.MemberLeaving) }, Draining},

		{"list says leaving", func(f *fixture) { f.makeReady(); f.list(storage.MemberLeaving) }, Draining},
		{"report says leaving", func(f *fixture) { f.makeReady(); f.reportDraining() }, Draining},
		{"operator drains", func(f *fixture) { f.makeReady(); f.drain() }, Draining},
		{"joining target drains", func(f *fixture) { f.list(storage.MemberLive); f.report(); f.drain() }, Draining},
		{"suspect target drains", func(f *fixture) { f.makeReady(); f.refuseConnection(); f.list(storage.MemberLeaving) }, Draining},

		{"successful report does not end draining", func(f *fixture) { f.makeReady(); f.reportDraining(); f.report(); f.wait(slowStart); f.report() }, Draining},
		{"live list does not end draining", func(f *fixture) {
			f.makeReady()
			f.list(storage.MemberLeaving)
			f.list(storage.MemberLive)
			f.report()
		}, Draining},
		{"refused connection does not end draining", func(f *fixture) { f.makeReady(); f.drain(); f.refuseConnection(); f.report() }, Draining},
		{"draining target is unlisted and listed again", func(f *fixture) {
			f.makeReady()
			f.drain()
			f.unlist()
			f.list(storage.MemberLive)
		}, Joining},
		{"draining target is unlisted and listed again as leaving", func(f *fixture) {
			f.makeReady()
			f.drain()
			f.unlist()
			f.list(storage.MemberLeaving)
		}, Draining},
		{"draining target is unlisted and listed again but still reports draining", func(f *fixture) {
			f.makeReady()
			f.reportDraining()
			f.unlist()
			f.list(storage.MemberLive)
			f.reportDraining()
		}, Draining},
		{"draining target moves to a new address", func(f *fixture) {
			f.makeReady()
			f.drain()
			f.listAt(storage.MemberLive, "10.0.0.2:80")
		}, Joining},
		{"reports of a draining target fail for GoneAfter", func(f *fixture) { f.makeReady(); f.drain(); f.failUntilGone() }, Gone},
		{"draining target is gone and reports again", func(f *fixture) { f.makeReady(); f.drain(); f.failUntilGone(); f.report() }, Joining},
		{"gone target is drained and reports again", func(f *fixture) { f.makeReady(); f.failUntilGone(); f.drain(); f.report() }, Joining},
		{"suspect target is drained and reports again", func(f *fixture) { f.makeReady(); f.refuseConnection(); f.drain(); f.report() }, Draining},
		{"gone target listed as leaving reports again", func(f *fixture) {
			f.makeReady()
			f.failUntilGone()
			f.list(storage.MemberLeaving)
			f.report()
		}, Draining},

		{"refused connection", func(f *fixture) { f.makeReady(); f.refuseConnection() }, Suspect},
		{"report after a refused connection", func(f *fixture) { f.makeReady(); f.refuseConnection(); f.wait(time.Second); f.report() }, Ready},
		{"late report from before a refused connection", func(f *fixture) {
			f.makeReady()
			f.refuseConnection()
			f.Report("a", Snapshot{Capacity: 8, ReportedAt: f.now.Add(-time.Millisecond)}, f.now)
		}, Suspect},
		{"report between two refused connections", func(f *fixture) {
			f.makeReady()
			f.refuseConnection()
			at := f.now
			f.wait(time.Second)
			f.refuseConnection()
			f.Report("a", Snapshot{Capacity: 8, ReportedAt: at.Add(time.Millisecond)}, f.now)
		}, Suspect},
		{"report after RestartAfter in suspect starts a new slow start", func(f *fixture) {
			f.makeReady()
			f.refuseConnection()
			f.wait(DefaultRestartAfter)
			f.report()
		}, Joining},
		{"one failed report", func(f *fixture) { f.makeReady(); f.failReport() }, Ready},
		{"two failed reports", func(f *fixture) { f.makeReady(); f.failReport(); f.failReport() }, Suspect},
		{"failed reports with a successful one between", func(f *fixture) { f.makeReady(); f.failReport(); f.report(); f.failReport() }, Ready},
		{"reports fail for GoneAfter", func(f *fixture) { f.makeReady(); f.failUntilGone() }, Gone},
		{"listed target never reports", func(f *fixture) { f.list(storage.MemberLive); f.failUntilGone() }, Gone},
		{"gone target stays gone while the list says live", func(f *fixture) {
			f.makeReady()
			f.failUntilGone()
			f.list(storage.MemberLive)
			f.wait(time.Minute)
		}, Gone},
		{"gone target is removed once unlisted", func(f *fixture) { f.makeReady(); f.failUntilGone(); f.unlist(); f.wait(time.Second) }, ""},

		{"unlisted target still reports", func(f *fixture) { f.makeReady(); f.unlist(); f.wait(DefaultDrainUnlistedAfter - 1); f.report() }, Ready},
		{"unlisted target is listed again", func(f *fixture) {
			f.makeReady()
			f.unlist()
			f.wait(DefaultDrainUnlistedAfter - 1)
			f.list(storage.MemberLive)
			f.wait(DefaultDrainUnlistedAfter)
		}, Ready},
		{"target unlisted for DrainUnlistedAfter", func(f *fixture) { f.makeReady(); f.unlist(); f.wait(DefaultDrainUnlistedAfter); f.report() }, Draining},
		{"target unlisted for DrainUnlistedAfter is listed again", func(f *fixture) {
			f.makeReady()
			f.unlist()
			f.wait(DefaultDrainUnlistedAfter)
			f.list(storage.MemberLive)
		}, Joining},
		{"unlisted target fails", func(f *fixture) { f.makeReady(); f.unlist(); f.failUntilGone() }, ""},
		{"drained unlisted target is removed", func(f *fixture) {
			f.makeReady()
			f.drain()
			f.unlist()
			f.wait(DefaultGoneAfter)
			f.wait(time.Second)
		}, ""},
		{"gone target is listed again after it was removed", func(f *fixture) {
			f.makeReady()
			f.failUntilGone()
			f.unlist()
			f.list(storage.MemberLive)
		}, Joining},
		{"target unlisted while draining is gone, reports while listed as leaving, then is listed as live", func(f *fixture) {
			f.makeReady()
			f.drain()
			f.unlist()
			f.list(storage.MemberLeaving)
			f.failUntilGone()
			f.report()
			f.list(storage.MemberLive)
		}, Joining},
		{"target drained while unlisted is listed again", func(f *fixture) {
			f.makeReady()
			f.unlist()
			f.wait(DefaultDrainUnlistedAfter)
			f.drain()
			f.list(storage.MemberLive)
		}, Draining},
		{"drained unlisted target with an open stream is kept", func(f *fixture) {
			f.makeReady()
			f.DispatchStarted("a", f.now)
			f.drain()
			f.unlist()
			f.wait(DefaultGoneAfter)
			f.wait(time.Second)
		}, Draining},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFixture()
			test.run(f)
			assert.Equal(t, f.state(), test.want)
		})
	}
}

// Guards against giving work to a new instance at another address because the
// old instance has reported.
func TestMovedTargetNeedsReport(t *testing.T) {
	f := newFixture()
	f.makeReady()
	f.listAt(storage.MemberLive, "10.0.0.2:80")
	assert.Assert(t, f.View()[0].Snapshot.ReportedAt.IsZero())
}

// Guards against a load that ignores the daemon's own dispatches, or that keeps
// counting them after a report contains them.
func TestDispatchCounts(t *testing.T) {
	f := newFixture()
	f.makeReady()
	f.DispatchStarted("a", f.now)
	f.DispatchStarted("a", f.now)
	f.DispatchEnded("a", f.now)
	assert.DeepEqual(t, dispatchCounts(f), [2]int{1, 1})
	f.wait(DefaultReportLag - 1)
	f.report()
	assert.DeepEqual(t, dispatchCounts(f), [2]int{1, 1}) // the figures of the report are older than the dispatch
	f.wait(1)
	f.report()
	assert.DeepEqual(t, dispatchCounts(f), [2]int{1, 0})
	f.DispatchStarted("a", f.now)
	assert.DeepEqual(t, dispatchCounts(f), [2]int{2, 1})
	f.DispatchEnded("a", f.now)
	f.DispatchEnded("a", f.now)
	f.DispatchEnded("a", f.now)
	f.DispatchStarted("unknown", f.now)
	f.DispatchEnded("unknown", f.now)
	assert.DeepEqual(t, dispatchCounts(f), [2]int{0, 0})
}

// dispatchCounts returns the numbers of open dispatches and of dispatches since
// the report.
func dispatchCounts(f *fixture) [2]int {
	s := f.View()[0]
	return [2]int{s.Outstanding, s.DispatchesSinceReport}
}

// Guards against using daemons or members of unknown services as targets.
func TestApplyIgnoresNonTargetsAndUnknownServices(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	tracker.Apply([]storage.Member{
		{ID: "d", Kind: storage.DaemonMember, Service: "chef-llm", State: storage.MemberLive},
		{ID: "u", Kind: storage.TargetMember, Service: "unknown", State: storage.MemberLive},
		{ID: "b", Kind: storage.TargetMember, Service: "cantine-app", State: storage.MemberLive},
		{ID: "a", Kind: storage.TargetMember, Service: "chef-llm", State: storage.MemberLive},
	}, services, testTime)
	view := tracker.View()
	assert.Equal(t, len(view), 2)
	assert.Equal(t, view[0].Target.ID, "a")
	assert.Equal(t, view[0].Target.Kind, PromText)
	assert.Assert(t, view[0].Target.Fenced)
	assert.Equal(t, view[1].Target.ID, "b")
}
