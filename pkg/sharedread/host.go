package sharedread

import (
	"cmp"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// Host is a running host.
type Host struct {
	Name          string
	Addr          string // address at which other hosts reach it; empty: none
	FailureDomain string
	LinkMbps      float64 // rate of its link in Mbit/s; 0: unknown
}

// slow reports whether the link of the host is known to be too slow for a preferred reader.
func (h Host) slow() bool { return h.LinkMbps > 0 && h.LinkMbps < slowLinkMbps }

// rank orders the hosts of a failure domain that can be readers, the first choice first. The
// order is the same at every host that knows the same hosts.
func rank(hosts []Host, failureDomain string) []Host {
	ranked := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool {
		return h.Addr == "" || h.FailureDomain != failureDomain
	})
	slices.SortFunc(ranked, func(a, b Host) int {
		if a.slow() != b.slow() {
			if a.slow() {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(rendezvous.Score(failureDomain, b.Name), rendezvous.Score(failureDomain, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

// readerCount returns the number of readers among the hosts of a failure domain.
func readerCount(hosts int) int {
	return min(hosts, max(minReaders, (hosts+followersPerReader-1)/followersPerReader))
}
