package target_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
	"pgregory.net/rapid"
)

// drainLimit is the time after the first sign that a target is leaving from
// which the target must receive no new work. The fleet guarantees this limit.
const drainLimit = 3 * time.Second

// tickInterval is the time between two calls of Tick. ticksUntilGone ticks take
// longer than GoneAfter.
const (
	tickInterval   = 200 * time.Millisecond
	ticksUntilGone = int(target.DefaultGoneAfter/tickInterval) + 1
)

const service = "chef-llm"

var (
	targetIDs = []string{"a", "b", "c"}
	services  = map[string]target.ServiceInfo{service: {Kind: target.PromText, SlowStart: 2 * time.Second}}
)

// machine applies random sequences of events to a tracker and an oracle. Its
// exported methods are the actions of a rapid state machine.
type machine struct {
	tracker        *target.Tracker
	picker         *route.Picker
	now            time.Time
	processes      map[string]*process
	oracles        map[string]*oracle
	openDispatches []string // target ids of the dispatches that have not ended
	addrsUsed      int      // number of addresses assigned so far
}

func newMachine() *machine {
	settings := route.DefaultSettings()
	settings.Rand = rand.New(rand.NewPCG(1, 2))
	m := &machine{
		tracker:   target.NewTracker(target.DefaultLimits()),
		picker:    route.NewPicker(settings),
		now:       time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC),
		processes: make(map[string]*process),
		oracles:   make(map[string]*oracle),
	}
	m.picker.SetServices(services)
	for _, id := range targetIDs {
		m.processes[id] = &process{addr: m.newAddr(), alive: true}
		m.oracles[id] = &oracle{}
	}
	return m
}

// newAddr returns an address that has not been used before.
func (m *machine) newAddr() string {
	m.addrsUsed++
	return fmt.Sprintf("10.0.0.1:%d", m.addrsUsed)
}

// status returns the status of a target in the view of the tracker.
func (m *machine) status(id string) (target.Status, bool) {
	for _, s := range m.tracker.View() {
		if s.Target.ID == id {
			return s, true
		}
	}
	return target.Status{}, false
}

// List delivers a membership list that omits some targets, marks some as
// leaving and may contain the address of a previous instance.
func (m *machine) List(t *rapid.T) {
	var members []storage.Member
	for _, id := range targetIDs {
		entry := rapid.SampledFrom([]string{"live", "live", "live", "lagging", "leaving", "omitted"}).Draw(t, id)
		o := m.oracles[id]
		if entry == "omitted" {
			m.omit(id)
			continue
		}
		addr := m.processes[id].addr
		if entry == "lagging" && o.addr != "" {
			addr = o.addr
		}
		state := storage.MemberLive
		if entry == "leaving" {
			state = storage.MemberLeaving
		}
		m.list(id, addr, state)
		members = append(members, storage.Member{
			ID: id, Kind: storage.TargetMember, Addr: addr, Service: service, State: state,
		})
	}
	m.tracker.Apply(members, services, m.now)
}

// omit updates the oracle for a list that omits a target.
func (m *machine) omit(id string) {
	o := m.oracles[id]
	if o.listed {
		o.unlistedSince = m.now
	}
	o.listed = false
	o.listedLeaving = false
	if !o.leavingAt.IsZero() {
		o.omittedWhileLeaving = true
	}
}

// list updates the oracle for a list that names a target.
func (m *machine) list(id, addr string, state storage.MemberState) {
	o := m.oracles[id]
	if o.addr != addr {
		o.startNewInstance()
	}
	joins := o.omittedWhileLeaving || (o.gone(m.now) && !o.listed)
	if joins && state == storage.MemberLive {
		o.startNewInstance()
	}
	o.listed = true
	o.addr = addr
	o.listedLeaving = state == storage.MemberLeaving
	if o.listedLeaving {
		o.markLeaving(m.now)
	}
}

// Poll reads the report of one target at the address that the tracker knows.
func (m *machine) Poll(t *rapid.T) {
	m.poll(rapid.SampledFrom(targetIDs).Draw(t, "id"))
}

// PollAll reads the reports of all targets.
func (m *machine) PollAll(*rapid.T) {
	for _, id := range targetIDs {
		m.poll(id)
	}
}

func (m *machine) poll(id string) {
	s, known := m.status(id)
	if !known {
		return
	}
	p := m.processes[id]
	if !p.alive || p.addr != s.Target.Addr {
		m.pollFailed(id)
		return
	}
	o := m.oracles[id]
	if o.gone(m.now) && o.listed && !o.listedLeaving {
		o.startNewInstance()
	}
	o.reported = true
	o.dispatchFailed = false
	o.reportFailures = 0
	if p.draining {
		o.markLeaving(m.now)
	}
	m.tracker.Report(id, target.Snapshot{Capacity: 8, Draining: p.draining, ReportedAt: m.now}, m.now)
}

func (m *machine) pollFailed(id string) {
	o := m.oracles[id]
	if o.reportFailures == 0 {
		o.firstReportFailureAt = m.now
	}
	o.reportFailures++
	m.tracker.ReportFailed(id, m.now)
}

// Dispatch picks a target, checks the choice and starts a dispatch to it.
func (m *machine) Dispatch(t *rapid.T) {
	req := route.Request{Service: service, Prefix: rapid.SampledFrom([]string{"", "menu", "ration"}).Draw(t, "prefix")}
	picked, refusal := m.picker.Pick(req, m.tracker.View(), m.now)
	if refusal != nil {
		return
	}
	m.checkPick(t, picked)
	p := m.processes[picked.ID]
	if !p.alive || p.addr != picked.Addr {
		m.oracles[picked.ID].dispatchFailed = true
		m.tracker.DispatchFailed(picked.ID, m.now)
		return
	}
	m.openDispatches = append(m.openDispatches, picked.ID)
	m.tracker.DispatchStarted(picked.ID, m.now)
}

// checkPick checks that the oracle gives no reason against new work for a picked
// target.
func (m *machine) checkPick(t *rapid.T, picked target.Target) {
	o := m.oracles[picked.ID]
	if !o.leavingAt.IsZero() && m.now.Sub(o.leavingAt) > drainLimit {
		t.Fatalf("%s was picked %s after the first sign of leaving", picked.ID, m.now.Sub(o.leavingAt))
	}
	if o.dispatchFailed {
		t.Fatalf("%s was picked after a failed dispatch, without a successful report since", picked.ID)
	}
	if !o.reported {
		t.Fatalf("%s was picked without a report from %s", picked.ID, picked.Addr)
	}
}

// End ends one dispatch, or starts one if none is open.
func (m *machine) End(t *rapid.T) {
	if len(m.openDispatches) == 0 {
		m.Dispatch(t)
		return
	}
	index := rapid.IntRange(0, len(m.openDispatches)-1).Draw(t, "at")
	m.tracker.DispatchEnded(m.openDispatches[index], m.now)
	m.openDispatches = slices.Delete(m.openDispatches, index, index+1)
}

// OperatorDrain drains a target by command of an operator.
func (m *machine) OperatorDrain(t *rapid.T) {
	id := rapid.SampledFrom(targetIDs).Draw(t, "id")
	o := m.oracles[id]
	if _, known := m.status(id); known && !o.gone(m.now) {
		o.markLeaving(m.now)
		o.omittedWhileLeaving = false
	}
	m.tracker.Drain(id, m.now)
}

// SelfDrain makes the reports of a target say that it is draining.
func (m *machine) SelfDrain(t *rapid.T) {
	m.processes[rapid.SampledFrom(targetIDs).Draw(t, "id")].draining = true
}

// Crash stops a target process without notice.
func (m *machine) Crash(t *rapid.T) {
	m.processes[rapid.SampledFrom(targetIDs).Draw(t, "id")].alive = false
}

// Restart starts a new target process, at the same address or a new one.
func (m *machine) Restart(t *rapid.T) {
	p := m.processes[rapid.SampledFrom(targetIDs).Draw(t, "id")]
	if rapid.Bool().Draw(t, "moves") {
		p.addr = m.newAddr()
	}
	p.alive = true
	p.draining = false
}

// Wait advances the time in steps of tickInterval.
func (m *machine) Wait(t *rapid.T) {
	ticks := rapid.SampledFrom([]int{1, 2, 5, 10, 20, ticksUntilGone}).Draw(t, "ticks")
	for range ticks {
		m.now = m.now.Add(tickInterval)
		m.tracker.Tick(m.now)
		for _, id := range targetIDs {
			m.oracles[id].drainIfUnlistedTooLong(m.now)
		}
	}
}

// Check compares the view with the oracle after each action.
func (m *machine) Check(t *rapid.T) {
	for _, s := range m.tracker.View() {
		m.checkStatus(t, s)
		if s.Outstanding < 0 || s.DispatchesSinceReport < 0 || s.DispatchesSinceReport > s.Outstanding {
			t.Fatalf("%s: %d dispatches outstanding, %d since the report", s.Target.ID, s.Outstanding, s.DispatchesSinceReport)
		}
	}
	for _, id := range targetIDs {
		o := m.oracles[id]
		s, known := m.status(id)
		if !known && !o.listed {
			// The tracker removed a target that the list omits. It joins as a new
			// instance if it is listed again.
			o.startNewInstance()
		}
		if !o.mustBeUsable() {
			continue
		}
		if !known || (s.State != target.Ready && s.State != target.Joining) {
			t.Fatalf("%s is %q although it is listed, reports and has had no failure", id, s.State)
		}
	}
}

// checkStatus checks the choice of the picker if the target is the only one in
// the view, and that a target with a sign of leaving is Draining or Gone.
func (m *machine) checkStatus(t *rapid.T, s target.Status) {
	picked, refusal := m.picker.Pick(route.Request{Service: service}, []target.Status{s}, m.now)
	if refusal == nil {
		m.checkPick(t, picked)
	}
	leaving := !m.oracles[s.Target.ID].leavingAt.IsZero()
	if leaving && s.State != target.Draining && s.State != target.Gone {
		t.Fatalf("%s is %q after a sign of leaving", s.Target.ID, s.State)
	}
}

// Guards against new work for a target more than 3 s after the first sign that
// it is leaving, new work for a dead target after its first failed dispatch,
// and withholding work from a serving target without a reason.
func TestTrackerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newMachine()))
	})
}
