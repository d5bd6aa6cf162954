package escrow

import (
	"sync"
	"time"
)

// Reservation is the part of a share that one request may spend. The zero
// value belongs to no budget and its Settle has no effect.
type Reservation struct {
	pool   *tokenPool
	epoch  int    // epoch of the share from which the tokens are taken
	tokens int64  // tokens reserved
	lender string // address of the broker from whose share the tokens are taken; empty: from the own share
	number int64  // number of the reservation at the broker
	once   sync.Once
}

// Settle closes the reservation with the tokens that the request has spent. Of
// these, it counts at most the tokens reserved. Only the first call has an
// effect.
func (r *Reservation) Settle(spent int64) {
	if r.pool == nil {
		return
	}
	m := r.pool.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	r.settleLocked(m.options.Clock(), spent)
}

// settleLocked is Settle for a caller that holds the manager's mutex.
func (r *Reservation) settleLocked(now time.Duration, spent int64) {
	r.once.Do(func() {
		spent = min(spent, r.tokens)
		if r.lender != "" {
			r.pool.settleAtBroker(r, spent)
			return
		}
		r.pool.ledger.settle(now, r.epoch, r.tokens, spent)
		r.pool.notifyCovered(now)
	})
}
