package escrow

import (
	"context"
	"sync"
	"time"
)

// Manager holds this host's shares of all budgets. It is safe for concurrent
// use.
type Keeper struct {
	options Options
	ctx     context.Context

	mu              sync.Mutex
	pools           map[string]*tokenPool
	reports         reports
	reporter        *reporter
	hasPredecessor  bool                     // an earlier process of this host has written a usage report
	feedRead        bool                     // the reports of other hosts were read at least once
	rankings        map[string]ranking       // by customer
	brokerRetryAt   map[string]time.Duration // by broker address; the broker is not asked before this time
	peerReports     map[string]UsageReport   // last reports of other processes, by incarnation
	endedProcesses  map[string]EndedProcess  // by incarnation
	startedAt       time.Duration            // start of this process on the local clock
	startStoreTime  time.Duration            // store clock at the start of this process, or slightly later; 0: unknown
	storeTime       time.Duration            // store clock at storeTimeReadAt on the local clock
	storeTimeReadAt time.Duration
	stateChanged    chan struct{} // closed and replaced after each outcome that may decide a waiting reservation
	leaving         bool
}

// NewManager returns a manager without budgets. Its goroutines stop when ctx
// ends.
func NewKeeper(ctx context.Context, o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = boottimeClock
	}
	k := &Keeper{
		options: o, ctx: ctx, pools: make(map[string]*tokenPool), peerReports: make(map[string]UsageReport),
		endedProcesses: make(map[string]EndedProcess), stateChanged: make(chan struct{}), brokerRetryAt: make(map[string]time.Duration), rankings: make(map[string]ranking),
		startedAt: o.Clock(),
	}
	k.reporter = newReporter(k)
	return k
}

// Start starts to write usage reports, to read those of other hosts and to
// reclaim the shares of ended processes.
func (k *Keeper) Start() {
	go k.reporter.run(k.ctx)
	go k.loadPredecessors(k.ctx)
	go k.followReports(k.ctx)
	go k.runReclaim(k.ctx)
}

// SetBudgets sets the prepaid totals, in tokens by customer.
func (k *Keeper) SetBudgets(prepaid map[string]int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for customer, total := range prepaid {
		p := k.pools[customer]
		if p == nil {
			p = newTokenPool(k, customer)
			k.pools[customer] = p
			go p.run(k.ctx)
		}
		if p.prepaid != total {
			p.prepaid = total
			p.trigger()
		}
	}
}

// Reserve takes tokens from a customer's budget for one request: the maximum
// that the request may cost. If this host holds too few, it waits a short time
// for the table. It returns errors that wrap ErrExhausted or ErrUnreachable.
func (k *Keeper) Reserve(ctx context.Context, customer string, tokens int64) (*Reservation, error) {
	k.mu.Lock()
	p := k.pools[customer]
	k.mu.Unlock()
	if p == nil {
		return &Reservation{}, nil
	}
	return p.reserve(ctx, tokens)
}

// Loaded reports whether the table has stored a usage report of this process
// and every account was read once.
func (k *Keeper) Loaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reports.confirmed == nil {
		return false
	}
	for _, p := range k.pools {
		if !p.loaded {
			return false
		}
	}
	return true
}

// Leave returns the unspent part of every share to its budget. It waits until
// the table has confirmed that or ctx ends.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	pools := make([]*tokenPool, 0, len(k.pools))
	for _, p := range k.pools {
		pools = append(pools, p)
		p.rejectRequests(p.queue, errLeaving)
		p.queue = nil
		p.trigger()
	}
	k.mu.Unlock()
	for _, p := range pools {
		select {
		case <-p.sharesReturned:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Status returns the state of this host's share of every budget.
func (k *Keeper) Status() []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Status, 0, len(k.pools))
	for _, p := range k.pools {
		all = append(all, p.status())
	}
	return all
}

// Hosts returns the number of hosts that report to the table, including this
// one.
func (k *Keeper) Hosts() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.liveHosts())
}

// PeerAddrs returns the addresses of the other hosts that report to the table.
func (k *Keeper) PeerAddrs() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var addrs []string
	for host, addr := range k.liveHosts() {
		if addr != "" && host != k.options.Host {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// liveHosts returns the hosts that report to the table, including this one:
// their addresses by host name, "" for a host without an address.
func (k *Keeper) liveHosts() map[string]string {
	hosts := map[string]string{k.options.Host: k.options.Addr}
	now := k.estimatedStoreTime()
	for _, r := range k.peerReports {
		if r.Host != k.options.Host && r.age(now) <= leaseDuration {
			hosts[r.Host] = r.Addr
		}
	}
	return hosts
}

// recordStoreTime records the store's clock from the answer to a call that was
// sent at sentAt. The answer takes some time to arrive, so the estimated store
// time is never ahead of the store, and the recorded start of this process is
// never too early.
func (k *Keeper) recordStoreTime(storeTime, sentAt time.Duration) {
	k.storeTime, k.storeTimeReadAt = storeTime, k.options.Clock()
	if start := storeTime - (sentAt - k.startedAt); k.startStoreTime == 0 || start < k.startStoreTime {
		k.startStoreTime = start
	}
}

// estimatedStoreTime returns the store's clock, or slightly less.
func (k *Keeper) estimatedStoreTime() time.Duration {
	return k.storeTime + k.options.Clock() - k.storeTimeReadAt
}

// notifyWaiters makes all waiting reservations check again.
func (k *Keeper) notifyWaiters() {
	close(k.stateChanged)
	k.stateChanged = make(chan struct{})
}
