package target

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Tracker determines the state of every target from the membership list, the
// reports of the targets, the outcome of dispatches and the commands of
// operators. It does no I/O and must be used by one goroutine only.
//
// The daemon's own observations take precedence over the list: a failing target
// is not used although it is listed, and a target that still reports is used
// for DrainUnlistedAfter although the list omits it.
type Tracker struct {
	limits        Limits
	lifecycle     *lifecycle
	records       map[string]*record
	sortedIDs     []string   // gives views a stable order
	pendingChange viewChange // most urgent change since the last takePendingChange
}

// NewTracker returns a tracker without targets.
func NewTracker(limits Limits) *Tracker {
	return &Tracker{
		limits:    limits,
		lifecycle: newLifecycle(),
		records:   make(map[string]*record),
	}
}

// Apply updates the targets from a new membership list and the services of the
// configuration bundle in force. Members that are not targets or belong to no
// known service are ignored.
func (t *Tracker) Apply(members []storage.Member, services map[string]ServiceInfo, now time.Time) {
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		info, known := services[m.Service]
		if m.Kind != storage.TargetMember || !known || seen[m.ID] {
			continue
		}
		seen[m.ID] = true
		t.applyMember(m, info, now)
	}
	for id, r := range t.records {
		if !seen[id] {
			markUnlisted(r, now)
			t.removeIfGone(r)
		}
	}
}

// applyMember updates a target from its entry in the membership list.
func (t *Tracker) applyMember(m storage.Member, info ServiceInfo, now time.Time) {
	listedTarget := newTarget(m, info)
	r, known := t.records[m.ID]
	switch {
	case !known:
		r = t.add(listedTarget, now)
	case r.movedTo(listedTarget):
		t.startNewInstance(r, now)
	case r.omittedWhileDraining && m.State == storage.MemberLive:
		t.startNewInstance(r, now)
	}
	if r.status.Target != listedTarget {
		r.status.Target = listedTarget
		t.recordChange(stateChanged)
	}
	r.slowStart = info.SlowStart
	r.listed = true
	r.listedLeaving = m.State == storage.MemberLeaving
	r.unlistedSince = time.Time{}
	if r.listedLeaving {
		t.fire(r, triggerLeave, now)
	}
}

// markUnlisted records that the membership list omits the target.
func markUnlisted(r *record, now time.Time) {
	if r.listed {
		r.unlistedSince = now
	}
	r.listed = false
	r.listedLeaving = false
	r.omittedWhileDraining = r.omittedWhileDraining || r.status.State == Draining
}

// Report updates a target from a new snapshot. Snapshots of unknown targets are
// ignored.
func (t *Tracker) Report(id string, s Snapshot, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	if s.ReportedAt.IsZero() {
		s.ReportedAt = now
	}
	r.reportSucceeded()
	t.transitionOnReport(r, s, now)
	r.replaceSnapshot(s, t.limits.ReportLag)
	t.recordChange(loadChanged)
	if r.firstReportAt.IsZero() {
		r.firstReportAt = now
	}
	if s.Draining {
		t.fire(r, triggerLeave, now)
	}
	t.applyTimeLimits(r, now)
}

// transitionOnReport changes the state of a suspect or gone target that reports
// again. For a joining target the first report starts the slow start.
func (t *Tracker) transitionOnReport(r *record, s Snapshot, now time.Time) {
	switch r.status.State {
	case Suspect:
		t.restoreSuspect(r, s, now)
	case Gone:
		t.restoreGone(r, now)
	case Joining:
		if r.firstReportAt.IsZero() {
			r.status.Since = now
		}
	}
}

// restoreGone starts a new instance of a gone target that reports again. If the
// list marks the target as leaving, it only drains. omittedWhileDraining is
// kept in that case, so that a new instance still starts when a list names the
// target as live.
func (t *Tracker) restoreGone(r *record, now time.Time) {
	omittedWhileDraining := r.omittedWhileDraining
	t.startNewInstance(r, now)
	if r.listedLeaving {
		r.omittedWhileDraining = omittedWhileDraining
		t.fire(r, triggerLeave, now)
	}
}

// restoreSuspect moves a suspect target that reports again to Ready. It starts
// a new instance instead if the target was suspect for RestartAfter or had not
// completed its slow start. A report that was received before the latest failed
// dispatch does not change the state.
func (t *Tracker) restoreSuspect(r *record, s Snapshot, now time.Time) {
	if s.ReportedAt.Before(r.dispatchFailedAt) {
		return
	}
	restarted := now.Sub(r.status.Since) >= t.limits.RestartAfter
	if restarted || !r.slowStartOver(now) {
		t.startNewInstance(r, now)
		return
	}
	t.fire(r, triggerRecover, now)
}

// ReportFailed records that a report could not be read.
func (t *Tracker) ReportFailed(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	r.reportFailed(now)
	if r.reportFailures >= t.limits.SuspectFailures {
		t.fire(r, triggerFail, now)
	}
	t.applyTimeLimits(r, now)
}

// DispatchFailed records that a connection to the target was refused or reset.
// A joining or ready target becomes suspect at once, until a later report
// succeeds.
func (t *Tracker) DispatchFailed(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	r.dispatchFailedAt = now
	t.fire(r, triggerFail, now)
}

// Drain stops new work at the target on an operator's command. The command
// applies to the running instance, so it has no effect on a gone target. If the
// list omits the target when the command arrives and the next list names it
// again, the target keeps draining: only an omission after the command indicates
// that the drained instance has ended.
func (t *Tracker) Drain(id string, now time.Time) {
	if r, ok := t.records[id]; ok {
		r.omittedWhileDraining = false
		t.fire(r, triggerLeave, now)
	}
}

// DispatchStarted records the start of a dispatch to the target.
func (t *Tracker) DispatchStarted(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	t.recordChange(loadChanged)
	r.dispatchStarted(now)
}

// DispatchEnded records the end of a dispatch to the target.
func (t *Tracker) DispatchEnded(id string, _ time.Time) {
	r, ok := t.records[id]
	if !ok || r.status.Outstanding == 0 {
		return
	}
	t.recordChange(loadChanged)
	r.dispatchEnded()
}

// Tick applies the time limits to all targets and removes drained ones that the
// list no longer names. It must be called a few times per second.
func (t *Tracker) Tick(now time.Time) {
	for _, r := range t.records {
		t.applyTimeLimits(r, now)
	}
}

// knownAt reports whether the tracker knows the target at this address.
func (t *Tracker) knownAt(id, addr string) bool {
	r, ok := t.records[id]
	return ok && r.status.Target.Addr == addr
}

// applyTimeLimits fires the triggers that depend on time.
func (t *Tracker) applyTimeLimits(r *record, now time.Time) {
	// The state machine would ignore these triggers in the excluded states. The
	// conditions avoid its cost, since Tick calls this for every target.
	if r.status.State == Joining && r.slowStartOver(now) {
		t.fire(r, triggerSlowStartOver, now)
	}
	if r.status.State != Draining && r.status.State != Gone && r.unlistedFor(now, t.limits.DrainUnlistedAfter) {
		r.omittedWhileDraining = true
		t.fire(r, triggerLeave, now)
	}
	if r.status.State != Gone && r.reportsFailedFor(now, t.limits.GoneAfter) {
		t.fire(r, triggerGone, now)
	}
	if t.drainedAndUnlisted(r, now) {
		t.fire(r, triggerGone, now)
	}
	t.removeIfGone(r)
}

// removeIfGone removes a gone target that the list does not name. It does so at
// once, so that a later report of the unlisted target does not restore it.
func (t *Tracker) removeIfGone(r *record) {
	if r.status.State == Gone && !r.listed {
		t.remove(r.status.Target.ID)
	}
}

// drainedAndUnlisted reports whether a draining target is no longer listed, has
// drained for GoneAfter and has no open dispatch of this daemon.
func (t *Tracker) drainedAndUnlisted(r *record, now time.Time) bool {
	return r.status.State == Draining && r.omittedWhileDraining && !r.listed && r.status.Outstanding == 0 &&
		now.Sub(r.status.Since) >= t.limits.GoneAfter
}

// View returns a copy of the status of all targets, ordered by id.
func (t *Tracker) View() []Status {
	view := make([]Status, 0, len(t.sortedIDs))
	for _, id := range t.sortedIDs {
		view = append(view, t.records[id].status)
	}
	return view
}

// add creates the record of a new target.
func (t *Tracker) add(listedTarget Target, now time.Time) *record {
	r := &record{status: Status{Target: listedTarget, State: Joining, Since: now}}
	t.recordChange(stateChanged)
	t.records[listedTarget.ID] = r
	index, _ := slices.BinarySearch(t.sortedIDs, listedTarget.ID)
	t.sortedIDs = slices.Insert(t.sortedIDs, index, listedTarget.ID)
	return r
}

// remove deletes the record of a target.
func (t *Tracker) remove(id string) {
	t.recordChange(stateChanged)
	delete(t.records, id)
	if index, ok := slices.BinarySearch(t.sortedIDs, id); ok {
		t.sortedIDs = slices.Delete(t.sortedIDs, index, index+1)
	}
}

// startNewInstance discards what was observed of the target so far and moves it
// to Joining.
func (t *Tracker) startNewInstance(r *record, now time.Time) {
	r.clearObservations()
	t.recordChange(stateChanged)
	r.status.State = t.lifecycle.nextState(r.status.State, triggerJoin)
	r.status.Since = now
}

// fire passes a trigger to the state machine and stores the new state and the
// time of the change, if any.
func (t *Tracker) fire(r *record, trig trigger, now time.Time) {
	next := t.lifecycle.nextState(r.status.State, trig)
	if next == r.status.State {
		return
	}
	t.recordChange(stateChanged)
	r.status.State = next
	r.status.Since = now
}

// recordChange keeps the most urgent change for takePendingChange.
func (t *Tracker) recordChange(c viewChange) { t.pendingChange = max(t.pendingChange, c) }

// takePendingChange returns and clears the most urgent change since the last
// call.
func (t *Tracker) takePendingChange() viewChange {
	c := t.pendingChange
	t.pendingChange = unchanged
	return c
}
