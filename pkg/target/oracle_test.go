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
	listed      bool
	listLeaving bool
	omittedAt   time.Time // since when the list omits it
	addr        string    // as listed last
	signAt      time.Time // first sign of leaving of this instance; zero: none
	absent      bool      // the list omitted the target after the first sign
	reported    bool      // a report of this address succeeded
	failed      bool      // a dispatch failed and no report has succeeded since
	failures    int       // consecutive failed reports
	failingAt   time.Time // first of these
}

// sign notes a sign of leaving.
func (o *oracle) sign(now time.Time) {
	if o.signAt.IsZero() {
		o.signAt = now
		o.absent = false
	}
}

// renew forgets what was seen of a previous instance.
func (o *oracle) renew() {
	o.signAt = time.Time{}
	o.absent = false
	o.reported = false
	o.failures = 0
}

// gone reports whether reports have failed for so long that the instance counts as dead.
func (o *oracle) gone(now time.Time) bool {
	return o.failures > 0 && now.Sub(o.failingAt) >= target.DefaultGoneAfter
}

// notice takes a long absence from the list as a sign of leaving.
func (o *oracle) notice(now time.Time) {
	if !o.listed && o.signAt.IsZero() && now.Sub(o.omittedAt) >= target.DefaultMissingAfter {
		o.sign(now)
		o.absent = true
	}
}

// mustServe reports whether nothing at all speaks against the target.
func (o *oracle) mustServe() bool {
	return o.listed && !o.listLeaving && o.signAt.IsZero() && o.reported && !o.failed && o.failures == 0
}
