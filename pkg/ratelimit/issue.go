package ratelimit

import (
	"math/rand/v2"
	"time"
)

// notIssuerWait is how long a host that is no issuer, or not yet, sends others away.
const notIssuerWait = 500 * time.Millisecond

// Issue answers the request of a host, which may be this one, for a permit.
func (l *Limiter) Issue(r PermitRequest, now time.Time) PermitReply {
	if r.Host != l.Self {
		l.Receive(r.Limit, now)
	}
	t := r.Limit.Target
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limitOf(t, now)
	if !limited && r.Limit.Revision == 0 && r.Limit.PerSecond > 0 {
		limit, limited = r.Limit, true // a target that warms up, whose registration this host has not read yet
	}
	if !limited {
		reply := PermitReply{Granted: true}
		if e := l.limits[t]; e != nil {
			reply.Limit = e.Limit
		}
		return reply
	}
	if !l.views.issues(l.Self, t, now) {
		return PermitReply{Wait: notIssuerWait, Limit: limit}
	}
	b := l.buckets[t]
	if b == nil {
		b = newBucket(now)
		l.buckets[t] = b
	}
	b.setRate(limit.PerSecond/float64(len(l.views.issuersOf(t))), now)
	wait := b.take(r.Host, r.Light, rand.Float64(), now)
	return PermitReply{Granted: wait == 0, Wait: wait, Limit: limit}
}
