package ratelimit

import (
	"slices"
	"time"
)

// denialKey identifies the permits of one issuer for one target and kind of request.
type denialKey struct {
	target Target
	issuer string
	light  bool
}

// denials are the times until which this host asks no issuer again, because the issuer has
// denied a permit or has not answered.
type denials struct {
	denied      map[denialKey]time.Time
	unreachable map[string]time.Time // by issuer, for all of its targets
	late        map[string]bool      // unreachable issuers whose answers did not come in time
}

func newDenials() denials {
	return denials{denied: make(map[denialKey]time.Time), unreachable: make(map[string]time.Time), late: make(map[string]bool)}
}

// until returns the time until which the issuer is not asked, zero or past if it may be asked.
func (d denials) until(issuer string, t Target, light bool) time.Time {
	at, other := d.denied[denialKey{t, issuer, light}], d.unreachable[issuer]
	if other.After(at) {
		return other
	}
	return at
}

// maxDenials is the number of denials from which those that have passed are removed.
const maxDenials = 1000

func (d denials) deny(issuer string, t Target, light bool, until, now time.Time) {
	if len(d.denied) >= maxDenials {
		for key, at := range d.denied {
			if !now.Before(at) {
				delete(d.denied, key)
			}
		}
	}
	d.denied[denialKey{t, issuer, light}] = until
}

// setUnreachable records that an issuer has not answered, late if it has not failed at once, and
// reports whether it was reachable before.
func (d denials) setUnreachable(issuer string, until time.Time, late bool) (news bool) {
	_, known := d.unreachable[issuer]
	d.unreachable[issuer], d.late[issuer] = until, late
	return !known
}

// retain forgets the issuers that are not among the running hosts.
func (d denials) retain(hosts []string) {
	for issuer := range d.unreachable {
		if _, runs := slices.BinarySearch(hosts, issuer); !runs {
			d.setReachable(issuer)
		}
	}
}

// setReachable records that an issuer has answered.
func (d denials) setReachable(issuer string) {
	delete(d.unreachable, issuer)
	delete(d.late, issuer)
}

// onlyLate reports whether late answers alone withhold permits at present: no issuer has denied
// one or has failed at once.
func (d denials) onlyLate(now time.Time) bool {
	for _, until := range d.denied {
		if now.Before(until) {
			return false
		}
	}
	late := false
	for issuer, until := range d.unreachable {
		switch {
		case !now.Before(until):
		case !d.late[issuer]:
			return false
		default:
			late = true
		}
	}
	return late
}
