package escrow

import "sync"

// Reservation is the part of a share that one request may spend. The zero
// value belongs to no budget and its Settle has no effect.
type Reservation struct {
	pool   *tokenPool
	epoch  int   // epoch of the share from which the tokens are taken
	tokens int64 // tokens reserved
	once   sync.Once
}

// Settle closes the reservation with the tokens that the request has spent. Of
// these, it counts at most the tokens reserved. Only the first call has an
// effect.
func (r *Reservation) Settle(spent int64) {
	r.once.Do(func() {
		if r.pool != nil {
			r.pool.settle(r, min(spent, r.tokens))
		}
	})
}
