package forward

import "time"

// readRate judges whether a caller reads what is written to it. It handles loads in which
// callers leave their responses unread. The decision depends on the samples and times passed to
// it only.
//
// What a caller accepts comes in steps of up to its receive buffer, as its system announces room
// late. A full credit of the bytes of one window is therefore used up at the least rate, and
// refilled by what is accepted.
type readRate struct {
	minRate int64         // in bytes per second
	window  time.Duration // time after which a caller that accepts nothing is slow

	waiting      bool // a write waited at the last sample
	sampledAt    time.Time
	acknowledged int64   // bytes acknowledged at the last sample
	credit       float64 // in bytes
}

// slow reports whether the caller accepts less than the least rate. acknowledged is the number
// of bytes that its system has acknowledged so far. waiting means that a write waits and bytes
// are left to send; otherwise the caller is not slow, and its credit is full.
func (r *readRate) slow(now time.Time, acknowledged int64, waiting bool) bool {
	full := float64(r.minRate) * r.window.Seconds()
	if waiting && r.waiting {
		used := float64(r.minRate) * now.Sub(r.sampledAt).Seconds()
		r.credit = min(full, r.credit+float64(acknowledged-r.acknowledged)-used)
	} else {
		r.credit = full
	}
	r.waiting, r.sampledAt, r.acknowledged = waiting, now, acknowledged
	if r.credit > 0 {
		return false
	}
	r.credit = 0 // a caller that reads again need not make up for the time before
	return true
}
