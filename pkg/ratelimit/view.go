package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// maxIssuers is the number of hosts that issue permits for one target. With three, a host that
// others take for an issuer for too long adds a third of the rate, and one that is lost leaves
// two thirds.
const maxIssuers = 3

// view is the set of running hosts as this host knew it from a time on.
type view struct {
	since   time.Time
	hosts   []string            // addresses, sorted
	issuers map[Target][]string // cache of issuersOf
}

// issuersOf returns the addresses of the issuers of a target, the one with the highest score
// first.
func (v *view) issuersOf(t Target) []string {
	if known, ok := v.issuers[t]; ok {
		return known
	}
	key := t.key()
	ordered := slices.SortedFunc(slices.Values(v.hosts), func(a, b string) int {
		return cmp.Compare(rendezvous.Score(key, b), rendezvous.Score(key, a))
	})
	ordered = slices.Clone(ordered[:min(len(ordered), maxIssuers)])
	if v.issuers == nil || len(v.issuers) >= maxLimits {
		v.issuers = make(map[Target][]string)
	}
	v.issuers[t] = ordered
	return ordered
}
