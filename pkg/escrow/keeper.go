package escrow

import (
	"context"
	"sync"
)

// Keeper holds this host's parts of all budgets. It is safe for concurrent use.
type Keeper struct {
	options Options
	mu      sync.Mutex
	purses  map[string]*purse
	ctx     context.Context
	running sync.WaitGroup
}

// NewKeeper returns a keeper without budgets. Its work ends with ctx.
func NewKeeper(ctx context.Context, o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = elapsedClock
	}
	return &Keeper{options: o, purses: make(map[string]*purse), ctx: ctx}
}

// SetBudgets tells the prepaid totals of all customers, in tokens.
func (k *Keeper) SetBudgets(prepaid map[string]int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for customer, total := range prepaid {
		p := k.purses[customer]
		if p == nil {
			p = newPurse(k.options, customer)
			k.purses[customer] = p
			k.running.Go(func() { p.run(k.ctx) })
		}
		p.setPrepaid(total)
	}
}

// Reserve takes tokens of a customer's budget for one request, at most what the
// request may cost. It waits a short time for the table if this host holds too
// little. Errors are ErrExhausted and ErrUnreachable, wrapped.
func (k *Keeper) Reserve(ctx context.Context, customer string, tokens int64) (*Reservation, error) {
	k.mu.Lock()
	p := k.purses[customer]
	k.mu.Unlock()
	if p == nil {
		return &Reservation{}, nil
	}
	return p.reserve(ctx, tokens)
}

// Loaded reports whether every account was read or written once.
func (k *Keeper) Loaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.purses {
		if !p.loaded() {
			return false
		}
	}
	return true
}

// Leave gives every holding back, as far as it is unspent, and waits until the
// table has taken that or ctx ends.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	purses := make([]*purse, 0, len(k.purses))
	for _, p := range k.purses {
		purses = append(purses, p)
	}
	k.mu.Unlock()
	for _, p := range purses {
		p.startLeaving()
	}
	for _, p := range purses {
		select {
		case <-p.left:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Status describes every holding, for operators.
func (k *Keeper) Status() []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Status, 0, len(k.purses))
	for _, p := range k.purses {
		all = append(all, p.status())
	}
	return all
}
