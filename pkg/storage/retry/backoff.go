// Package retry submits transactions to the platform until they are decided.
package retry

import (
	"math/rand/v2"
	"time"
)

// First and highest limit of the delay before a transaction is submitted again.
// The delay is at least half of the limit.
const (
	BackoffMin = 20 * time.Millisecond
	BackoffMax = 500 * time.Millisecond
)

// Backoff returns the delays between submissions of the same transaction id. The
// zero value is ready for use.
type Backoff struct {
	limit time.Duration
}

// Next returns a random delay between half of the limit and the limit. The limit
// starts at BackoffMin and doubles with each call up to BackoffMax. The jitter
// prevents daemons from retrying at the same time after an outage.
func (b *Backoff) Next() time.Duration {
	b.limit = min(max(2*b.limit, BackoffMin), BackoffMax)
	return b.limit/2 + rand.N(b.limit/2)
}
