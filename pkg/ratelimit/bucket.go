package ratelimit

import "time"

const (
	// minRate is the least rate of an issuer, in permits per second. Without a request now
	// and then, nobody would learn that a target takes more again.
	minRate = 1.0 / 12
	// burstTime is the time for which unused permits are kept, beside a single one: a host
	// that asks next after a pause gets them at once.
	burstTime = 500 * time.Millisecond
	// contenderTTL is how long a host that was denied a permit counts as one that will ask
	// again.
	contenderTTL = time.Second
	// asksPerPermit is the number of calls for each permit at which an issuer aims while more
	// hosts want permits than it has.
	asksPerPermit = 3
	// maxWait bounds the time for which an issuer sends a host away.
	maxWait = 3 * time.Second
)

// bucket issues the permits of one issuer for one target. It starts with a single permit.
type bucket struct {
	rate       float64 // permits per second
	tokens     float64
	filledAt   time.Time
	contenders map[string]time.Time // hosts that were denied a permit, with the time
}

func newBucket(now time.Time) *bucket {
	return &bucket{tokens: 1, filledAt: now, contenders: make(map[string]time.Time)}
}

// setRate sets the rate from now on.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.fill(now)
	b.rate = max(rate, minRate)
}

// fill adds the permits that have accrued.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.capacity())
		b.filledAt = now
	}
}

func (b *bucket) capacity() float64 { return 1 + b.rate*burstTime.Seconds() }

// take takes a permit for a host. Without one it returns the time after which the host may ask
// again. With many hosts that want permits, a random part of the time that all of them need
// is added, so that they do not return together. random is in [0, 1).
//
// A light request leaves a permit for another one, unless none has come for so long that the
// bucket is full.
func (b *bucket) take(host string, light bool, random float64, now time.Time) (wait time.Duration) {
	b.fill(now)
	required := 1.0
	if light {
		required = min(2, b.capacity())
	}
	if b.tokens >= required {
		b.tokens--
		delete(b.contenders, host)
		return 0
	}
	b.contenders[host] = now
	for other, at := range b.contenders {
		if now.Sub(at) > contenderTTL {
			delete(b.contenders, other)
		}
	}
	next := (required - b.tokens) / b.rate
	spread := random * 2 * float64(len(b.contenders)-1) / (asksPerPermit * b.rate)
	return max(time.Millisecond, min(seconds(next+spread), maxWait))
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
