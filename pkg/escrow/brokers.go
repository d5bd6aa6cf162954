package escrow

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

const (
	// directHosts is the number of hosts up to which each one changes the
	// accounts itself. A row takes some 200 changes a second.
	directHosts = 16
	// maxBrokers is the number of hosts that are asked for an account before a
	// host changes it itself.
	maxBrokers = 2
	// brokerPause is how long a host that did not answer is not asked again.
	brokerPause = 2 * time.Second
	// peersWait is how long a host that starts for the first time waits for the
	// reports of others before it touches an account: hosts that start together
	// would collide. peersPoll is the time between two looks.
	peersWait = 1200 * time.Millisecond
	peersPoll = 20 * time.Millisecond
)

// awaitPeers waits until the other hosts are known, as far as they matter.
func (k *Keeper) awaitPeers(ctx context.Context) {
	for k.options.Ask != nil && ctx.Err() == nil && !k.peersKnown() {
		pause.For(ctx, peersPoll)
	}
}

func (k *Keeper) peersKnown() bool {
	if k.Hosts() > directHosts {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return (k.restarted && k.feedRead) || k.options.Clock()-k.started >= peersWait
}

// brokerOf returns the address of the host that changes a customer's account
// for the others, or "" if this host does that itself. It then tells whether
// that is for want of a broker.
func (k *Keeper) brokerOf(customer string) (addr string, stranded bool) {
	if k.options.Ask == nil {
		return "", false
	}
	type host struct{ name, addr string }
	now := k.estimate()
	hosts := []host{{name: k.options.Host}}
	for _, r := range k.peers {
		if r.Addr != "" && r.Host != k.options.Host && r.age(now) <= leaseTerm {
			hosts = append(hosts, host{r.Host, r.Addr})
		}
	}
	hosts = slices.CompactFunc(sorted(hosts, func(a, b host) int { return cmp.Compare(a.name, b.name) }),
		func(a, b host) bool { return a.name == b.name })
	if len(hosts) <= directHosts {
		return "", false
	}
	hosts = sorted(hosts, func(a, b host) int {
		return cmp.Compare(rendezvous.Score(customer, b.name), rendezvous.Score(customer, a.name))
	})
	clock := k.options.Clock()
	for _, h := range hosts[:maxBrokers] {
		if h.name == k.options.Host {
			return "", false
		}
		if clock >= k.brokersDown[h.addr] {
			return h.addr, false
		}
	}
	return "", true
}

func sorted[T any](all []T, compare func(a, b T) int) []T {
	slices.SortFunc(all, compare)
	return all
}

// forgiveBrokers makes hosts be asked again: this host does no better than they.
func (k *Keeper) forgiveBrokers() { clear(k.brokersDown) }
