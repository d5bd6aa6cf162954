package integration

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

// leavingOracle judges targets that left.
type leavingOracle struct {
	left       []*leaving
	dispatches []harness.Dispatch
	answers    []harness.Answer
}

// checkTarget returns what is wrong with the work of a leaving target.
func (o leavingOracle) checkTarget(l *leaving) []error {
	var wrong []error
	last := l.began.Add(l.sign.limit())
	for _, at := range l.front.times() {
		if at.After(last) {
			wrong = append(wrong, fmt.Errorf("%s (%s): dispatch %v after the sign", l.target.ID, l.sign, at.Sub(l.began)))
		}
	}
	for _, d := range o.dispatches {
		switch {
		case d.Target != l.target.ID:
		case d.Accepted.After(last):
			wrong = append(wrong, fmt.Errorf("%s (%s): accepted stream %s %v after the sign", d.Target, l.sign, d.Stream, d.Accepted.Sub(l.began)))
		case l.sign != signDeath && !d.Completed:
			wrong = append(wrong, fmt.Errorf("%s (%s): stream %s did not end", d.Target, l.sign, d.Stream))
		}
	}
	return wrong
}

// checkAnswer returns an error for an answer that is not whole. Only a stream
// that had begun at a target when it died may end with a refusal.
func (o leavingOracle) checkAnswer(a harness.Answer) error {
	if a.Whole && a.Err == nil && a.Text == a.Request.Text(a.Stream) {
		return nil
	}
	if a.Err == nil && a.Verdict == verdict.MayHaveRun && o.brokenByDeath(a) {
		return nil
	}
	return fmt.Errorf("%s through %s from %s to %s: status %d, whole %v, %s %s, stream %s, error %v", a.Request.Key, a.Daemon,
		a.Sent.Format(time.StampMilli), a.Ended.Format(time.StampMilli), a.Status, a.Whole, a.Verdict, a.Reason, a.Stream, a.Err)
}

// brokenByDeath reports whether the stream of an answer ran at a target when it died.
func (o leavingOracle) brokenByDeath(a harness.Answer) bool {
	for _, l := range o.left {
		if l.sign != signDeath || a.Text == "" || a.Sent.After(l.began) || a.Ended.Before(l.began) {
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

// busy returns how many streams the target had when the sign was given.
func (o leavingOracle) busy(l *leaving) int {
	n := 0
	for _, d := range o.dispatches {
		if d.Target == l.target.ID && d.Accepted.Before(l.began) && (d.Ended == nil || d.Ended.After(l.began)) {
			n++
		}
	}
	return n
}

// latest returns the time from the sign to the last dispatch, zero if there was none after it.
func (o leavingOracle) latest(l *leaving) time.Duration {
	var latest time.Duration
	for _, at := range l.front.times() {
		latest = max(latest, at.Sub(l.began))
	}
	return latest
}
