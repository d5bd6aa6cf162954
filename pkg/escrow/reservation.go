package escrow

import "sync"

// Reservation is a part of a share that one request may spend. The zero value
// is a reservation without a budget.
type Reservation struct {
	pool   *tokenPool
	epoch  int
	tokens int64
	once   sync.Once
}

// Settle ends the reservation with the tokens that the request has spent. Only
// the first call counts.
func (r *Reservation) Settle(spent int64) {
	r.once.Do(func() {
		if r.pool != nil {
			r.pool.settle(r, min(spent, r.tokens))
		}
	})
}
