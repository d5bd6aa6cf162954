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
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostCount() > maxDirectHosts || len(p.queue) > 0 || (m.hasPredecessor && m.membership.read) || m.options.Clock()-m.startedAt >= peerDiscoveryTimeout
}

// minReportInterval returns the minimum time between two usage reports of this host.
func (o Options) minReportInterval() time.Duration {
	return max(minCallInterval, interval(o.Hosts(), o.writesPerSecond()*reportWritesFraction))
}

// minChangeInterval returns the minimum time between two changes of one
// account by its broker.
func (o Options) minChangeInterval(accounts int) time.Duration {
	return max(minCallInterval, interval(accounts, o.writesPerSecond()*changeWritesFraction))
}

// interval returns the time between two writes of each of count writers that together make
// perSecond writes per second.
func interval(count int, perSecond float64) time.Duration {
	return time.Duration(float64(count) / perSecond * float64(time.Second))
}

func (o Options) writesPerSecond() float64 {
	if o.WritesPerSecond <= 0 {
		return defaultWritesPerSecond
	}
	return o.WritesPerSecond
}

// brokerOf returns the address of the host that changes a customer's account
// for the others, or "" if this host changes it itself. In that case noBroker
// tells whether the reason is that no broker answers.
func (m *Manager) brokerOf(customer string) (addr string, noBroker bool) {
	if m.options.RequestShare == nil || m.hostCount() <= maxDirectHosts {
		return "", false
	}
	clock := m.options.Clock()
	for _, h := range m.brokers(customer) {
		if h.name == m.options.Host {
			return "", false
		}
		if clock >= m.brokerRetryAt[h.addr] {
			return h.addr, false
		}
	}
	return "", true
}

// brokerCandidate is a host that may be the broker of an account.
type brokerCandidate struct {
	name, addr string
	score      uint64
}

// ranking holds the brokers of one customer.
type ranking struct {
	brokers    []brokerCandidate // at most maxBrokers, the first one first
	generation int               // of the membership from which the ranking was computed
}

// brokers returns the running hosts with the highest rendezvous scores for the customer.
func (m *Manager) brokers(customer string) []brokerCandidate {
	if r, ok := m.rankings[customer]; ok && r.generation == m.membership.generation {
		return r.brokers
	}
	r := ranking{generation: m.membership.generation}
	for name, row := range m.membership.rows {
		if row.Addr != "" && name != m.options.Host {
			r.add(brokerCandidate{name, row.Addr, rendezvous.Score(customer, name)})
		}
	}
	r.add(brokerCandidate{m.options.Host, m.options.Addr, rendezvous.Score(customer, m.options.Host)})
	m.rankings[customer] = r
	return r.brokers
}

// add adds a candidate if its score is among the highest.
func (r *ranking) add(c brokerCandidate) {
	i, _ := slices.BinarySearchFunc(r.brokers, c, func(a, b brokerCandidate) int { return cmp.Compare(b.score, a.score) })
	if i < maxBrokers {
		r.brokers = slices.Insert(r.brokers, i, c)
		r.brokers = r.brokers[:min(len(r.brokers), maxBrokers)]
	}
}

// clearBrokerFailures makes all brokers eligible again, after this host could
// not reach the table itself.
func (m *Manager) clearBrokerFailures() { clear(m.brokerRetryAt) }

// lenderOf returns the address of the broker to ask for a reservation, or "" if this host
// takes the tokens itself. A broker that did not answer before is asked by one request at
// a time until it does.
func (m *Manager) lenderOf(customer string) string {
	if m.options.RequestReservation == nil {
		return ""
	}
	broker, _ := m.brokerOf(customer)
	if _, failed := m.brokerRetryAt[broker]; failed {
		m.brokerRetryAt[broker] = m.options.Clock() + remoteReserveTimeout
	}
	return broker
}

// recordBrokerFailure records that a broker did not answer a call for a customer.
func (m *Manager) recordBrokerFailure(broker, customer string, err error) {
	clock := m.options.Clock()
	event := m.options.Log.Info()
	if clock < m.brokerRetryAt[broker] {
		event = m.options.Log.Debug() // already logged at info level for this broker
	}
	m.brokerRetryAt[broker] = clock + brokerRetryDelay
	event.Err(err).Str("peer", broker).Str("customer", customer).Msg("Account broker did not answer. It is not asked again for 2 s.")
}
