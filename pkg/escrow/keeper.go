package escrow

import (
	"context"
	"sync"
	"time"
)

// Keeper holds this host's shares of all budgets. It is safe for concurrent use.
type Keeper struct {
	options Options
	ctx     context.Context

	mu              sync.Mutex
	pools           map[string]*tokenPool
	reports         reports
	reporter        *reporter
	hasPredecessor  bool                     // an earlier process of this host has reported
	feedRead        bool                     // the reports of other hosts were read once
	rankings        map[string]ranking       // by customer
	brokerRetryAt   map[string]time.Duration // by address, until when a host is not asked again
	peerReports     map[string]UsageReport   // of other processes, by incarnation
	endedProcesses  map[string]EndedProcess  // by incarnation
	startedAt       time.Duration            // of this process, on its own clock
	startStoreTime  time.Duration            // store clock when this process started, or a little later; 0: not known
	storeTime       time.Duration            // at clockAt
	storeTimeReadAt time.Duration
	stateChanged    chan struct{} // closed when something was decided, then replaced
	leaving         bool
}

// NewKeeper returns a keeper without budgets. Its work ends with ctx.
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

// Start begins to report and to read the reports of other hosts.
func (k *Keeper) Start() {
	go k.reporter.run(k.ctx)
	go k.loadPredecessors(k.ctx)
	go k.followReports(k.ctx)
	go k.runReclaim(k.ctx)
}

// SetBudgets tells the prepaid totals of all customers, in tokens.
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

// Reserve takes tokens of a customer's budget for one request, at most what the
// request may cost. It waits a short time for the table if this host holds too
// little. Errors are ErrExhausted and ErrUnreachable, wrapped.
func (k *Keeper) Reserve(ctx context.Context, customer string, tokens int64) (*Reservation, error) {
	k.mu.Lock()
	p := k.pools[customer]
	k.mu.Unlock()
	if p == nil {
		return &Reservation{}, nil
	}
	return p.reserve(ctx, tokens)
}

// Loaded reports whether a report was taken and every account was read once.
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

// Leave gives every share back, as far as it is unspent, and waits until the
// table has taken that or ctx ends.
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

// Status describes every share.
func (k *Keeper) Status() []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Status, 0, len(k.pools))
	for _, p := range k.pools {
		all = append(all, p.status())
	}
	return all
}

// Hosts returns how many hosts report to the table, this one included.
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

// liveHosts returns the addresses of the hosts that report to the table by name,
// "" for one without an address. This host is one of them.
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

// recordStoreTime notes the store's clock from the answer to a call that was sent at
// sentAt. The estimate is never ahead of the store, since the answer took some
// time. The start of this process is never put too early, for the same reason.
func (k *Keeper) recordStoreTime(storeTime, sentAt time.Duration) {
	k.storeTime, k.storeTimeReadAt = storeTime, k.options.Clock()
	if start := storeTime - (sentAt - k.startedAt); k.startStoreTime == 0 || start < k.startStoreTime {
		k.startStoreTime = start
	}
}

// estimatedStoreTime returns the store's clock, or a little less.
func (k *Keeper) estimatedStoreTime() time.Duration {
	return k.storeTime + k.options.Clock() - k.storeTimeReadAt
}

// notifyWaiters lets the waiting reservations look again.
func (k *Keeper) notifyWaiters() {
	close(k.stateChanged)
	k.stateChanged = make(chan struct{})
}
