package target

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Tracker decides the state of every target from the membership list, the
// targets' reports, the outcome of dispatches and operators' commands. It does
// no I/O and belongs to one goroutine.
//
// What this daemon observes itself outranks the list: a target that fails is
// not used although it is listed, and one that reports well is used for
// MissingAfter although it is not.
type Tracker struct {
	limits        Limits
	lifecycle     *lifecycle
	records       map[string]*record
	sortedIDs     []string   // ids, sorted, so that views are stable
	pendingChange viewChange // since the last takeChange
}

// NewTracker returns a tracker without targets.
func NewTracker(limits Limits) *Tracker {
	return &Tracker{
		limits:    limits,
		lifecycle: newLifecycle(),
		records:   make(map[string]*record),
	}
}

// Apply takes a new membership list and the services of the bundle in force.
// Members that are not targets or belong to no known service are ignored.
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

// applyMember takes one entry of the list.
func (t *Tracker) applyMember(m storage.Member, info ServiceInfo, now time.Time) {
	described := newTarget(m, info)
	r, known := t.records[m.ID]
	switch {
	case !known:
		r = t.add(described, now)
	case r.movedTo(described):
		t.startNewInstance(r, now)
	case r.omittedWhileDraining && m.State == storage.MemberLive:
		t.startNewInstance(r, now)
	}
	if r.status.Target != described {
		r.status.Target = described
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

// markUnlisted notes that the list does not name the target.
func markUnlisted(r *record, now time.Time) {
	if r.listed {
		r.unlistedSince = now
	}
	r.listed = false
	r.listedLeaving = false
	r.omittedWhileDraining = r.omittedWhileDraining || r.status.State == Draining
}

// Report takes a snapshot of the target. Snapshots of unknown targets are ignored.
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

// transitionOnReport moves a target that reports again after a failure.
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

// restoreGone takes a gone target back that reports again. One that the list calls
// leaving only drains; a list that omitted it before still makes the next one
// that calls it live announce a new instance.
func (t *Tracker) restoreGone(r *record, now time.Time) {
	omittedWhileDraining := r.omittedWhileDraining
	t.startNewInstance(r, now)
	if r.listedLeaving {
		r.omittedWhileDraining = omittedWhileDraining
		t.fire(r, triggerLeave, now)
	}
}

// restoreSuspect ends suspicion, unless the report was received before the dispatch that failed.
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

// ReportFailed notes that a report could not be read.
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

// DispatchFailed notes that a connection to the target was refused or reset.
// The target is suspect at once, until a later report succeeds.
func (t *Tracker) DispatchFailed(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	r.dispatchFailedAt = now
	t.fire(r, triggerFail, now)
}

// Drain stops new work at the target on an operator's command. It concerns
// the running instance, so it has no effect on a gone target. A target that
// the list omits at the time stays drained if the next list names it again,
// since the omission is older than the command.
func (t *Tracker) Drain(id string, now time.Time) {
	if r, ok := t.records[id]; ok {
		r.omittedWhileDraining = false
		t.fire(r, triggerLeave, now)
	}
}

// Started notes a dispatch to the target.
func (t *Tracker) Started(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	t.recordChange(loadChanged)
	r.dispatchStarted(now)
}

// Ended notes that a dispatch has ended.
func (t *Tracker) Ended(id string, _ time.Time) {
	r, ok := t.records[id]
	if !ok || r.status.Outstanding == 0 {
		return
	}
	t.recordChange(loadChanged)
	r.dispatchEnded()
}

// Tick moves targets whose time limits have passed and forgets drained ones
// that the list no longer names. It is due a few times per second.
func (t *Tracker) Tick(now time.Time) {
	for _, r := range t.records {
		t.applyTimeLimits(r, now)
	}
}

// knownAt reports whether the target is known under this address.
func (t *Tracker) knownAt(id, addr string) bool {
	r, ok := t.records[id]
	return ok && r.status.Target.Addr == addr
}

// applyTimeLimits fires the triggers that depend on time.
func (t *Tracker) applyTimeLimits(r *record, now time.Time) {
	// The conditions on the state only save the cost of the machine, which
	// would ignore these triggers: Tick runs this for every target.
	if r.status.State == Joining && r.slowStartOver(now) {
		t.fire(r, triggerSlowStartOver, now)
	}
	if r.status.State != Draining && r.status.State != Gone && r.unlistedFor(now, t.limits.MissingAfter) {
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

// removeIfGone forgets a gone target that the list does not name. It does so
// at once: an unlisted target that still reports must not come back.
func (t *Tracker) removeIfGone(r *record) {
	if r.status.State == Gone && !r.listed {
		t.remove(r.status.Target.ID)
	}
}

// drainedAndUnlisted reports whether a target that left the list has had time to drain and carries no dispatch.
func (t *Tracker) drainedAndUnlisted(r *record, now time.Time) bool {
	return r.status.State == Draining && r.omittedWhileDraining && !r.listed && r.status.Outstanding == 0 &&
		now.Sub(r.status.Since) >= t.limits.GoneAfter
}

// View returns a copy of all targets in the order of their ids.
func (t *Tracker) View() []Status {
	view := make([]Status, 0, len(t.sortedIDs))
	for _, id := range t.sortedIDs {
		view = append(view, t.records[id].status)
	}
	return view
}

// add starts to follow a target.
func (t *Tracker) add(described Target, now time.Time) *record {
	r := &record{status: Status{Target: described, State: Joining, Since: now}}
	t.recordChange(stateChanged)
	t.records[described.ID] = r
	at, _ := slices.BinarySearch(t.sortedIDs, described.ID)
	t.sortedIDs = slices.Insert(t.sortedIDs, at, described.ID)
	return r
}

// remove forgets a target.
func (t *Tracker) remove(id string) {
	t.recordChange(stateChanged)
	delete(t.records, id)
	if at, ok := slices.BinarySearch(t.sortedIDs, id); ok {
		t.sortedIDs = slices.Delete(t.sortedIDs, at, at+1)
	}
}

// startNewInstance treats the target as a new instance.
func (t *Tracker) startNewInstance(r *record, now time.Time) {
	r.clearObservations()
	t.recordChange(stateChanged)
	r.status.State = t.lifecycle.next(r.status.State, triggerJoin)
	r.status.Since = now
}

// fire runs the life cycle machine and notes when the state changed.
func (t *Tracker) fire(r *record, trig trigger, now time.Time) {
	next := t.lifecycle.next(r.status.State, trig)
	if next == r.status.State {
		return
	}
	t.recordChange(stateChanged)
	r.status.State = next
	r.status.Since = now
}

// recordChange records a change for takeChange.
func (t *Tracker) recordChange(c viewChange) { t.pendingChange = max(t.pendingChange, c) }

// takePendingChange returns the most urgent change since the last call.
func (t *Tracker) takePendingChange() viewChange {
	c := t.pendingChange
	t.pendingChange = unchanged
	return c
}
