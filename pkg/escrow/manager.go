package escrow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// Manager holds this host's shares of all budgets. It is safe for concurrent
// use.
type Manager struct {
	options Options
	ctx     context.Context

	mu              sync.Mutex
	pools           map[string]*tokenPool // by customer
	ownReports      ownReports            // usage reports of this process that limit what it may use
	reporter        *reporter
	hasPredecessor  bool // an earlier process of this host has written a usage report
	membership      membership
	rankings        map[string]ranking       // order of the broker candidates, by customer
	brokerRetryAt   map[string]time.Duration // by broker address; the broker is not asked before this time
	peerReports     map[string]UsageReport   // last reports of other processes, by incarnation
	endedProcesses  map[string]EndedProcess  // by incarnation
	startedAt       time.Duration            // start of this process on the local clock
	startStoreTime  time.Duration            // store clock at the start of this process, or slightly later; 0: unknown
	storeTime       time.Duration            // store clock at storeTimeReadAt on the local clock
	storeTimeReadAt time.Duration            // local clock when storeTime was received
	stateChanged    chan struct{}            // closed and replaced whenever waiting reservations must check again
	leaving         bool                     // Leave was called
	lender          lender
	settlements     settlementQueue
	lastReservation int64 // number of the last reservation asked of a broker
	returns         storeReturns
	witnessing      witnessing
}

// NewManager returns a manager without budgets. Its goroutines stop when ctx
// ends.
func NewManager(ctx context.Context, o Options) *Manager {
	if o.Clock == nil {
		o.Clock = boottimeClock
	}
	if o.HostRows == nil {
		o.HostRows = directHostRows{o.Rows}
	}
	m := &Manager{
		options: o, ctx: ctx, pools: make(map[string]*tokenPool), peerReports: make(map[string]UsageReport),
		endedProcesses: make(map[string]EndedProcess), membership: membership{rows: make(map[string]HostRow)}, stateChanged: make(chan struct{}), brokerRetryAt: make(map[string]time.Duration), witnessing: newWitnessing(), rankings: make(map[string]ranking),
		startedAt: o.Clock(), lender: lender{lent: make(map[lentKey]lentReservation)}, settlements: newSettlementQueue(),
	}
	m.reporter = newReporter(m)
	return m
}

// Start starts to announce this host, to write usage reports, to read what other
// hosts write and to reclaim the shares of ended processes.
func (m *Manager) Start() {
	go m.announceHost(m.ctx)
	go m.followMembership(m.ctx)
	go m.reporter.run(m.ctx)
	go m.loadPredecessors(m.ctx)
	go m.followReports(m.ctx)
	go m.runReclaim(m.ctx)
	go m.runLender(m.ctx)
	go m.runSettlements(m.ctx)
}

// SetBudgets sets the prepaid totals in tokens, by customer. A customer that is
// missing from the map keeps its total.
func (m *Manager) SetBudgets(prepaid map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for customer, total := range prepaid {
		p := m.pools[customer]
		if p == nil {
			p = newTokenPool(m, customer)
			m.pools[customer] = p
			go p.run(m.ctx)
		}
		if p.prepaid != total {
			p.prepaid = total
			p.trigger()
		}
	}
}

// Reserve takes tokens from a customer's budget for one request: the maximum
// that the request may cost. If the limit of this process does not cover them,
// Reserve waits up to maxReserveWait for the table, or up to maxCeilingWait for
// the ceiling to rise while the table does not answer. It returns errors that
// wrap ErrExhausted or ErrUnreachable. For a customer without a budget it
// returns a Reservation that has no effect.
func (m *Manager) Reserve(ctx context.Context, customer string, tokens int64) (*Reservation, error) {
	m.mu.Lock()
	p := m.pools[customer]
	m.mu.Unlock()
	if p == nil {
		return &Reservation{}, nil
	}
	return p.reserve(ctx, tokens)
}

// Loaded reports whether the table has stored a usage report of this process
// and the state of every account was received at least once. In a large fleet an account
// is read when a request needs it.
func (m *Manager) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ownReports.confirmed == nil {
		return false
	}
	for _, p := range m.pools {
		if !p.loaded && !p.pooled() {
			return false
		}
	}
	return true
}

// Leave returns the unspent part of every share to its budget. It waits until
// the table has confirmed that or ctx ends.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	pools := make([]*tokenPool, 0, len(m.pools))
	for _, p := range m.pools {
		pools = append(pools, p)
		p.rejectRequests(p.queue, errLeaving)
		p.queue = nil
		p.trigger()
	}
	m.mu.Unlock()
	for _, p := range pools {
		select {
		case <-p.sharesReturned:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return m.awaitSettlements(ctx)
}

// awaitSettlements waits until all settlements are sent.
func (m *Manager) awaitSettlements(ctx context.Context) error {
	for {
		m.mu.Lock()
		settled := m.settlements.settled()
		m.mu.Unlock()
		if settled {
			return nil
		}
		pause.For(ctx, firstResendDelay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Status returns the state of this host's share of every budget.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Status, 0, len(m.pools))
	for _, p := range m.pools {
		all = append(all, p.status())
	}
	return all
}

// Hosts returns the number of running hosts, including this one.
func (m *Manager) Hosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostCount()
}

// hostCount is Hosts for a caller that holds the mutex.
func (m *Manager) hostCount() int {
	count := len(m.membership.rows)
	if _, listed := m.membership.rows[m.options.Host]; !listed {
		count++
	}
	return count
}

// PeerAddrs returns the addresses of the other running hosts.
func (m *Manager) PeerAddrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addrs := make([]string, 0, len(m.membership.rows))
	for host, r := range m.membership.rows {
		if r.Addr != "" && host != m.options.Host {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs
}

// Peers returns the rows of the other running hosts, by host.
func (m *Manager) Peers() map[string]HostRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := maps.Clone(m.membership.rows)
	delete(peers, m.options.Host)
	return peers
}

// recordStoreTime records the store's clock and era from the answer to a call that was
// sent at sentAt. The store reads its clock before the answer arrives, so the
// estimated store time is never ahead of the store. It reads its clock after
// sentAt, so the recorded start of this process is never too early.
func (m *Manager) recordStoreTime(storeTime, sentAt time.Duration, era uint64) {
	m.noteEra(era)
	m.storeTime, m.storeTimeReadAt = storeTime, m.options.Clock()
	if start := storeTime - (sentAt - m.startedAt); m.startStoreTime == 0 || start < m.startStoreTime {
		m.startStoreTime = start
	}
}

// estimatedStoreTime returns the store's clock, or slightly less.
func (m *Manager) estimatedStoreTime() time.Duration {
	return m.storeTime + m.options.Clock() - m.storeTimeReadAt
}

// notifyWaiters makes all waiting reservations check again.
func (m *Manager) notifyWaiters() {
	close(m.stateChanged)
	m.stateChanged = make(chan struct{})
}
