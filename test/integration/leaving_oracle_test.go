package integration

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

// leavingOracle checks the dispatches to leaving targets and the answers to callers.
type leavingOracle struct {
	targets    []*leavingTarget
	dispatches []harness.Dispatch
	answers    []harness.Answer
}

// checkTarget returns an error for each dispatch after the limit and each stream that
// did not complete on a leaving target.
func (o leavingOracle) checkTarget(l *leavingTarget) []error {
	var wrong []error
	last := l.triggeredAt.Add(l.trigger.limit())
	for _, at := range l.recorder.dispatchTimes() {
		if at.After(last) {
			wrong = append(wrong, fmt.Errorf("%s (%s): request dispatched %v after the trigger, which is later than allowed", l.target.ID, l.trigger, at.Sub(l.triggeredAt)))
		}
	}
	for _, d := range o.dispatches {
		switch {
		case d.Target != l.target.ID:
		case d.Accepted.After(last):
			wrong = append(wrong, fmt.Errorf("%s (%s): accepted stream %s %v after the trigger, which is later than allowed", d.Target, l.trigger, d.Stream, d.Accepted.Sub(l.triggeredAt)))
		case l.trigger != triggerKill && !d.Completed:
			wrong = append(wrong, fmt.Errorf("%s (%s): stream %s did not complete", d.Target, l.trigger, d.Stream))
		}
	}
	return wrong
}

// checkAnswer returns an error for an answer that is incomplete or wrong. Only a
// stream that ran on a target when that was killed may end with a refusal.
func (o leavingOracle) checkAnswer(a harness.Answer) error {
	if a.Complete && a.Err == nil && a.Text == a.Request.Text(a.Stream) {
		return nil
	}
	if a.Err == nil && a.Verdict == verdict.MayHaveRun && o.interruptedByKill(a) {
		return nil
	}
	return fmt.Errorf("%s through %s from %s to %s: status %d, complete %v, %s %s, stream %s, error %v", a.Request.Key, a.Daemon,
		a.Sent.Format(time.StampMilli), a.Ended.Format(time.StampMilli), a.Status, a.Complete, a.Verdict, a.Reason, a.Stream, a.Err)
}

// interruptedByKill reports whether the stream of an answer ran on a target when that was
// killed.
func (o leavingOracle) interruptedByKill(a harness.Answer) bool {
	for _, l := range o.targets {
		if l.trigger != triggerKill || a.Text == "" || a.Sent.After(l.triggeredAt) || a.Ended.Before(l.triggeredAt) {
			continue
		}
		for _, d := range o.dispatches {
			if d.Target == l.target.ID && d.Stream == a.Stream {
				return true
			}
		}
	}
	return false
}

// openStreams returns how many streams the target had at its trigger.
func (o leavingOracle) openStreams(l *leavingTarget) int {
	n := 0
	for _, d := range o.dispatches {
		if d.Target == l.target.ID && d.Accepted.Before(l.triggeredAt) && (d.Ended == nil || d.Ended.After(l.triggeredAt)) {
			n++
		}
	}
	return n
}

// lastDispatchDelay returns the time from the trigger to the last dispatch, or zero if
// there was no dispatch after the trigger.
func (o leavingOracle) lastDispatchDelay(l *leavingTarget) time.Duration {
	var latest time.Duration
	for _, at := range l.recorder.dispatchTimes() {
		latest = max(latest, at.Sub(l.triggeredAt))
	}
	return latest
}
