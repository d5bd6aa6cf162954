package commit

import "time"

// tokenBucket limits the rate of transactions. Each of its tokens permits one
// transaction; they have nothing to do with the tokens of budgets. It is not safe
// for concurrent use.
type tokenBucket struct {
	rate       float64 // tokens per second
	burst      float64 // maximum of tokens
	tokens     float64 // tokens available, negative if transactions wait for a token
	refilledAt time.Time
}

func newTokenBucket(rate float64, burst int, now time.Time) *tokenBucket {
	return &tokenBucket{rate: rate, burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// take reserves one token and returns the time until it is available.
func (b *tokenBucket) take(now time.Time) time.Duration {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
