package target_test

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// process is the real state of a target, which the tracker can only observe.
type process struct {
	addr     string
	alive    bool
	draining bool // its reports say so
}

// oracle is the simplest account of what may be known of one target.
type oracle struct {
	listed               bool
	listLeaving          bool
	omittedAt            time.Time // since when the list omits it
	addr                 string    // as listed last
	leavingAt            time.Time // first sign of leaving of this instance; zero: none
	omittedWhileLeaving  bool      // the list omitted the target after the first sign
	reported             bool      // a report of this address succeeded
	dispatchFailed       bool      // a dispatch failed and no report has succeeded since
	reportFailures       int       // consecutive failed reports
	firstReportFailureAt time.Time // first of these
}

// markLeaving notes a markLeaving of leaving.
func (o *oracle) markLeaving(now time.Time) {
	if o.leavingAt.IsZero() {
		o.leavingAt = now
		o.omittedWhileLeaving = false
	}
}

// startNewInstance forgets what was seen of a previous instance.
func (o *oracle) startNewInstance() {
	o.leavingAt = time.Time{}
	o.omittedWhileLeaving = false
	o.reported = false
	o.reportFailures = 0
}

// gone reports whether reports have failed for so long that the instance counts as dead.
func (o *oracle) gone(now time.Time) bool {
	return o.reportFailures > 0 && now.Sub(o.firstReportFailureAt) >= target.DefaultGoneAfter
}

// drainIfUnlistedTooLong takes a long absence from the list as a sign of leaving.
func (o *oracle) drainIfUnlistedTooLong(now time.Time) {
	if !o.listed && o.leavingAt.IsZero() && now.Sub(o.omittedAt) >= target.DefaultMissingAfter {
		o.markLeaving(now)
		o.omittedWhileLeaving = true
	}
}

// mustBeUsable reports whether nothing at all speaks against the target.
func (o *oracle) mustBeUsable() bool {
	return o.listed && !o.listLeaving && o.leavingAt.IsZero() && o.reported && !o.dispatchFailed && o.reportFailures == 0
}
