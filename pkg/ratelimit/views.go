package ratelimit

import (
	"slices"
	"time"
)

// issuerDelay is how long a host must have been an issuer of a target before it issues
// permits. Meanwhile other hosts read the same change of the running hosts, every 2 s, and
// a host that is no longer an issuer stops.
const issuerDelay = 3 * time.Second

// views are the running hosts as this host has known them within the last issuerDelay, the
// present view last.
type views []*view

// set makes hosts the present view. hosts must be sorted.
func (v *views) set(hosts []string, now time.Time) {
	all := *v
	if len(all) > 0 && slices.Equal(all[len(all)-1].hosts, hosts) {
		return
	}
	all = append(all, &view{since: now, hosts: hosts})
	for len(all) > 1 && now.Sub(all[1].since) > issuerDelay {
		all = all[1:]
	}
	*v = all
}

// issuersOf returns the issuers of a target in the present view, none if there is no view.
func (v views) issuersOf(t Target) []string {
	if len(v) == 0 {
		return nil
	}
	return v[len(v)-1].issuersOf(t)
}

// issues reports whether a host has been an issuer of a target throughout the last
// issuerDelay.
func (v views) issues(host string, t Target, now time.Time) bool {
	if len(v) == 0 || now.Sub(v[0].since) < issuerDelay {
		return false
	}
	for i, known := range v {
		replaced := i+1 < len(v) && now.Sub(v[i+1].since) > issuerDelay
		if !replaced && !slices.Contains(known.issuersOf(t), host) {
			return false
		}
	}
	return true
}
