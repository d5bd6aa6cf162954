package commit

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay before a transaction is submitted again.
const (
	backoffMin = 20 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// backoff is the delay before the next submission of the same id.
type backoff struct {
	bound time.Duration
}

// next returns a delay between half of the bound and the bound, and doubles
// the bound. The jitter keeps the daemons from retrying at the same time after
// an outage.
func (b *backoff) next() time.Duration {
	b.bound = min(max(2*b.bound, backoffMin), backoffMax)
	return b.bound/2 + rand.N(b.bound/2)
}
