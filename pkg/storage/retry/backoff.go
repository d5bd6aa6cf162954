// Package retry submits transactions to the platform until they are decided.
package retry

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay before a transaction is submitted again.
const (
	BackoffMin = 20 * time.Millisecond
	BackoffMax = 500 * time.Millisecond
)

// Backoff gives the delays between submissions of the same id. The zero value is ready for use.
type Backoff struct {
	bound time.Duration
}

// Next returns a delay between half of the bound and the bound, and doubles
// the bound. The jitter keeps the daemons from retrying at the same time after
// an outage.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(2*b.bound, BackoffMin), BackoffMax)
	return b.bound/2 + rand.N(b.bound/2)
}
