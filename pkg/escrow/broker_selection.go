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
	// maxDirectHosts is the largest number of hosts with which each host
	// writes the accounts itself. A row takes about 200 changes per second.
	maxDirectHosts = 16
	// maxBrokers is the number of broker candidates that a host tries for one
	// account before it changes the account itself.
	maxBrokers = 2
	// brokerRetryDelay is how long a broker that did not answer is not asked
	// again.
	brokerRetryDelay = 2 * time.Second
	// peerDiscoveryTimeout is how long a host that starts for the first time
	// waits for the reports of other hosts before it changes an account: the
	// writes of hosts that start together would conflict. peerDiscoveryPoll is
	// the interval between two checks.
	peerDiscoveryTimeout = 1200 * time.Millisecond
	peerDiscoveryPoll    = 20 * time.Millisecond
)

// awaitPeers waits until enough is known of the other hosts to tell whether
// the account has a broker, or until another host sends a share request.
func (p *tokenPool) awaitPeers(ctx context.Context) {
	for p.manager.options.RequestShare != nil && ctx.Err() == nil && !p.peersKnown() {
		pause.For(ctx, peerDiscoveryPoll)
	}
}

func (p *tokenPool) peersKnown() bool {
	m := p.manager
	if m.Hosts() > maxDirectHosts {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(p.queue) > 0 || (m.hasPredecessor && m.membership.read) || m.options.Clock()-m.startedAt >= peerDiscoveryTimeout
}

// minReportInterval returns the minimum time between two usage reports of this
// host.
func minReportInterval(hosts int) time.Duration {
	return max(minCallInterval, time.Duration(hosts)*time.Second/reportsPerSecond)
}

// minChangeInterval returns the minimum time between two changes of one
// account by its broker.
func minChangeInterval(accounts int) time.Duration {
	return max(minCallInterval, time.Duration(accounts)*time.Second/changesPerSecond)
}

// brokerOf returns the address of the host that changes a customer's account
// for the others, or "" if this host changes it itself. In that case noBroker
// tells whether the reason is that no broker answers.
func (m *Manager) brokerOf(customer string) (addr string, noBroker bool) {
	if m.options.RequestShare == nil {
		return "", false
	}
	hosts := m.rankHosts(customer)
	if len(hosts) <= maxDirectHosts {
		return "", false
	}
	clock := m.options.Clock()
	for _, h := range hosts[:maxBrokers] {
		if h.name == m.options.Host {
			return "", false
		}
		if clock >= m.brokerRetryAt[h.addr] {
			return h.addr, false
		}
	}
	return "", true
}

// rankingTTL is how long a ranking of hosts is cached.
const rankingTTL = 500 * time.Millisecond

// brokerCandidate is a host that may be the broker of an account.
type brokerCandidate struct {
	name, addr string
	score      uint64
}

// ranking is the cached order of broker candidates for one customer.
type ranking struct {
	hosts []brokerCandidate
	at    time.Duration // when the order was computed, on the local clock
}

// rankHosts returns the running hosts, ordered by rendezvous
// score for the customer, the highest first.
func (m *Manager) rankHosts(customer string) []brokerCandidate {
	clock := m.options.Clock()
	if r, ok := m.rankings[customer]; ok && clock-r.at < rankingTTL {
		return r.hosts
	}
	var hosts []brokerCandidate
	for name, addr := range m.liveHosts() {
		if addr != "" || name == m.options.Host {
			hosts = append(hosts, brokerCandidate{name, addr, rendezvous.Score(customer, name)})
		}
	}
	slices.SortFunc(hosts, func(a, b brokerCandidate) int { return cmp.Compare(b.score, a.score) })
	m.rankings[customer] = ranking{hosts: hosts, at: clock}
	return hosts
}

// clearBrokerFailures makes all brokers eligible again, after this host could
// not reach the table itself.
func (m *Manager) clearBrokerFailures() { clear(m.brokerRetryAt) }
