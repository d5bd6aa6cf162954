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
	// maxDirectHosts is the number of hosts up to which each one changes the
	// accounts itself. A row takes some 200 changes a second.
	maxDirectHosts = 16
	// maxBrokers is the number of hosts that are asked for an account before a
	// host changes it itself.
	maxBrokers = 2
	// brokerRetryDelay is how long a host that did not answer is not asked again.
	brokerRetryDelay = 2 * time.Second
	// peerDiscoveryTimeout is how long a host that starts for the first time waits for the
	// reports of others before it touches an account: hosts that start together
	// would collide. peersPoll is the time between two looks.
	peerDiscoveryTimeout = 1200 * time.Millisecond
	peerDiscoveryPoll    = 20 * time.Millisecond
)

// awaitPeers waits until the other hosts are known, as far as they matter, or one
// of them asks for a change.
func (p *tokenPool) awaitPeers(ctx context.Context) {
	for p.keeper.options.Ask != nil && ctx.Err() == nil && !p.peersKnown() {
		pause.For(ctx, peerDiscoveryPoll)
	}
}

func (p *tokenPool) peersKnown() bool {
	k := p.keeper
	if k.Hosts() > maxDirectHosts {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(p.queue) > 0 || (k.hasPredecessor && k.feedRead) || k.options.Clock()-k.startedAt >= peerDiscoveryTimeout
}

// minReportInterval returns the shortest time between two reports of this host.
func minReportInterval(hosts int) time.Duration {
	return max(minCallInterval, time.Duration(hosts)*time.Second/reportsPerSecond)
}

// minChangeInterval returns the shortest time between two changes of one account by its
// broker.
func minChangeInterval(accounts int) time.Duration {
	return max(minCallInterval, time.Duration(accounts)*time.Second/changesPerSecond)
}

// brokerOf returns the address of the host that changes a customer's account
// for the others, or "" if this host does that itself. It then tells whether
// that is for want of a broker.
func (k *Keeper) brokerOf(customer string) (addr string, noBroker bool) {
	if k.options.Ask == nil {
		return "", false
	}
	hosts := k.rankHosts(customer)
	if len(hosts) <= maxDirectHosts {
		return "", false
	}
	clock := k.options.Clock()
	for _, h := range hosts[:maxBrokers] {
		if h.name == k.options.Host {
			return "", false
		}
		if clock >= k.brokerRetryAt[h.addr] {
			return h.addr, false
		}
	}
	return "", true
}

// rankingTTL is how long a ranking is kept.
const rankingTTL = 500 * time.Millisecond

// brokerCandidate is a host that may change an account for others.
type brokerCandidate struct {
	name, addr string
	score      uint64
}

// ranking is the order of the hosts for one customer.
type ranking struct {
	hosts []brokerCandidate
	at    time.Duration
}

// rankHosts returns the hosts that report, the first choice first.
func (k *Keeper) rankHosts(customer string) []brokerCandidate {
	clock := k.options.Clock()
	if r, ok := k.rankings[customer]; ok && clock-r.at < rankingTTL {
		return r.hosts
	}
	var hosts []brokerCandidate
	for name, addr := range k.liveHosts() {
		if addr != "" || name == k.options.Host {
			hosts = append(hosts, brokerCandidate{name, addr, rendezvous.Score(customer, name)})
		}
	}
	slices.SortFunc(hosts, func(a, b brokerCandidate) int { return cmp.Compare(b.score, a.score) })
	k.rankings[customer] = ranking{hosts: hosts, at: clock}
	return hosts
}

// clearBrokerFailures makes hosts be asked again: this host does no better than they.
func (k *Keeper) clearBrokerFailures() { clear(k.brokerRetryAt) }
