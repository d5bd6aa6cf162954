package target_test

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// process is the real state of a target process, which the tracker learns only
// from its observations.
type process struct {
	addr     string // address at which the process listens
	alive    bool
	draining bool // its reports say that it is draining
}

// oracle is a simplified model of what the tracker may know of one target.
type oracle struct {
	listed               bool      // the newest membership list names the target
	listedLeaving        bool      // the newest membership list says that it is leaving
	unlistedSince        time.Time // time of the first list that omitted it after it was listed
	addr                 string    // address in the last list that named it
	leavingAt            time.Time // first sign that this instance is leaving; zero: none
	omittedWhileLeaving  bool      // a list omitted the target after leavingAt
	reported             bool      // a report from this address succeeded
	dispatchFailed       bool      // a dispatch failed and no report has succeeded since
	reportFailures       int       // consecutive failed reports
	firstReportFailureAt time.Time // time of the first of the consecutive failed reports
}

// markLeaving records a sign that the target is leaving, if it is the first
// one.
func (o *oracle) markLeaving(now time.Time) {
	if o.leavingAt.IsZero() {
		o.leavingAt = now
		o.omittedWhileLeaving = false
	}
}

// startNewInstance clears what was observed of the previous instance.
func (o *oracle) startNewInstance() {
	o.leavingAt = time.Time{}
	o.omittedWhileLeaving = false
	o.reported = false
	o.reportFailures = 0
}

// gone reports whether reports have failed for DefaultGoneAfter, so that the
// instance is considered dead.
func (o *oracle) gone(now time.Time) bool {
	return o.reportFailures > 0 && now.Sub(o.firstReportFailureAt) >= target.DefaultGoneAfter
}

// drainIfUnlistedTooLong treats absence from the membership list for
// DefaultDrainUnlistedAfter as a sign of leaving.
func (o *oracle) drainIfUnlistedTooLong(now time.Time) {
	if !o.listed && o.leavingAt.IsZero() && now.Sub(o.unlistedSince) >= target.DefaultDrainUnlistedAfter {
		o.markLeaving(now)
		o.omittedWhileLeaving = true
	}
}

// mustBeUsable reports whether the tracker has no reason to withhold work from
// the target.
func (o *oracle) mustBeUsable() bool {
	return o.listed && !o.listedLeaving && o.leavingAt.IsZero() && o.reported && !o.dispatchFailed && o.reportFailures == 0
}
