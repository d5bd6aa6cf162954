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

// awaitPeers waits until the other hosts are known, as far as they matter, or one
// of them asks for a change.
func (p *tokenPool) awaitPeers(ctx context.Context) {
	for p.keeper.options.Ask != nil && ctx.Err() == nil && !p.peersKnown() {
		pause.For(ctx, peersPoll)
	}
}

func (p *tokenPool) peersKnown() bool {
	k := p.keeper
	if k.Hosts() > directHosts {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(p.queue) > 0 || (k.restarted && k.feedRead) || k.options.Clock()-k.started >= peersWait
}

// reportGap returns the shortest time between two reports of this host.
func reportGap(hosts int) time.Duration {
	return max(minCallInterval, time.Duration(hosts)*time.Second/reportsPerSecond)
}

// changeGap returns the shortest time between two changes of one account by its
// broker.
func changeGap(accounts int) time.Duration {
	return max(minCallInterval, time.Duration(accounts)*time.Second/changesPerSecond)
}

// brokerOf returns the address of the host that changes a customer's account
// for the others, or "" if this host does that itself. It then tells whether
// that is for want of a broker.
func (k *Keeper) brokerOf(customer string) (addr string, stranded bool) {
	if k.options.Ask == nil {
		return "", false
	}
	hosts := k.ranking(customer)
	if len(hosts) <= directHosts {
		return "", false
	}
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

// rankTerm is how long a ranking is kept.
const rankTerm = 500 * time.Millisecond

// candidate is a host that may change an account for others.
type candidate struct {
	name, addr string
	score      uint64
}

// ranking is the order of the hosts for one customer.
type ranking struct {
	hosts []candidate
	at    time.Duration
}

// ranking returns the hosts that report, the first choice first.
func (k *Keeper) ranking(customer string) []candidate {
	clock := k.options.Clock()
	if r, ok := k.rankings[customer]; ok && clock-r.at < rankTerm {
		return r.hosts
	}
	var hosts []candidate
	for name, addr := range k.liveHosts() {
		if addr != "" || name == k.options.Host {
			hosts = append(hosts, candidate{name, addr, rendezvous.Score(customer, name)})
		}
	}
	slices.SortFunc(hosts, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	k.rankings[customer] = ranking{hosts: hosts, at: clock}
	return hosts
}

// forgiveBrokers makes hosts be asked again: this host does no better than they.
func (k *Keeper) forgiveBrokers() { clear(k.brokersDown) }
