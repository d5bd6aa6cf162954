package ratelimit

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

var discardLog = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}

// newLimiter returns a limiter of the first of three hosts, which has been running for long.
func newLimiter(ask func(context.Context, string, PermitRequest) (PermitReply, error)) *Limiter {
	hosts := addresses(3)
	l := New(Options{Self: hosts[0], Ask: ask, Log: discardLog})
	l.SetHosts(hosts[1:], time.Now().Add(-time.Minute))
	return l
}

// deny denies every permit.
func deny(_ context.Context, _ string, r PermitRequest) (PermitReply, error) {
	return PermitReply{Wait: 300 * time.Millisecond, Limit: r.Limit}, nil
}

func name(l *Limiter, perSecond float64) {
	now := time.Now()
	l.Observe(testTarget, perSecond, true, now, now)
}

// Guards against calls to other hosts for requests to targets without a limit.
func TestUnlimitedTargetNeedsNoPermit(t *testing.T) {
	l := newLimiter(nil)
	wait, asked := l.Acquire(t.Context(), testTarget, false)
	assert.Equal(t, wait, time.Duration(0))
	assert.Equal(t, asked, 0)
	name(l, 1)
	wait, asked = l.Acquire(t.Context(), Target{ID: "other"}, false)
	assert.Equal(t, wait, time.Duration(0))
	assert.Equal(t, asked, 0)
}

// Guards against a request that is sent although every issuer has denied it, and against calls for each request while the issuers have no permit.
func TestDeniedRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		l := newLimiter(func(ctx context.Context, issuer string, r PermitRequest) (PermitReply, error) {
			calls++
			return deny(ctx, issuer, r)
		})
		name(l, 0.6)
		wait, _ := l.Acquire(t.Context(), testTarget, false) // this host issues the first permit itself
		assert.Equal(t, wait, time.Duration(0))
		for range 50 {
			wait, _ = l.Acquire(t.Context(), testTarget, false)
			assert.Assert(t, wait > 0 && wait <= 300*time.Millisecond, "%v", wait)
		}
		assert.Equal(t, calls, 2)
	})
}

// Guards against requests that wait for issuers which are cut off, and against a host that sends without a permit because it reaches no issuer.
func TestUnreachableIssuersDoNotHoldRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		l := newLimiter(func(ctx context.Context, _ string, _ PermitRequest) (PermitReply, error) {
			calls++
			<-ctx.Done()
			return PermitReply{}, ctx.Err()
		})
		name(l, 0.6)
		wait, _ := l.Acquire(t.Context(), testTarget, false)
		assert.Equal(t, wait, time.Duration(0))
		start := time.Now()
		for range 20 {
			wait, _ = l.Acquire(t.Context(), testTarget, false)
			assert.Assert(t, wait > 0)
		}
		assert.Equal(t, time.Since(start), maxAsks*askTimeout)
		assert.Equal(t, calls, 2)
		time.Sleep(callTimeout)
	})
}

// Guards against a permit that an issuer grants because it does not know of the limit, or denies because it does not know that the limit has ended.
func TestPermitCallsCarryWhatHostsKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := addresses(3)
		issuer := New(Options{Self: hosts[1], Log: discardLog})
		issuer.SetHosts(hosts, time.Now().Add(-time.Minute))
		asker := newLimiter(func(_ context.Context, _ string, r PermitRequest) (PermitReply, error) {
			return issuer.Issue(r, time.Now()), nil
		})
		name(asker, 0.6)
		asker.Acquire(t.Context(), testTarget, false)
		asker.Acquire(t.Context(), testTarget, false)
		_, limited := issuer.Limited()[testTarget]
		assert.Assert(t, limited)

		time.Sleep(time.Second)
		issuer.Observe(testTarget, 0, false, time.Now(), time.Now())
		time.Sleep(time.Second)
		wait, _ := asker.Acquire(t.Context(), testTarget, false)
		assert.Equal(t, wait, time.Duration(0))
		assert.Equal(t, len(asker.Limited()), 0)
	})
}

// Guards against a host that issues permits for targets of which it is no issuer.
func TestOnlyIssuersIssue(t *testing.T) {
	hosts := addresses(12)
	limit := Limit{Target: testTarget, PerSecond: 100, Revision: 1}
	issuers := 0
	for _, host := range hosts {
		l := New(Options{Self: host, Log: discardLog})
		l.SetHosts(hosts, time.Now().Add(-time.Minute))
		reply := l.Issue(PermitRequest{Host: hosts[0], Limit: limit}, time.Now())
		if reply.Granted {
			issuers++
		} else {
			assert.Equal(t, reply.Wait, notIssuerWait)
		}
	}
	assert.Equal(t, issuers, maxIssuers)
}

// Guards against a request whose caller has left and that makes its host take an issuer for unreachable.
func TestEndedRequestDoesNotBlameIssuer(t *testing.T) {
	l := newLimiter(func(context.Context, string, PermitRequest) (PermitReply, error) {
		return PermitReply{}, errors.New("closed")
	})
	name(l, 0.6)
	l.Acquire(t.Context(), testTarget, false)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	wait, _ := l.Acquire(ctx, testTarget, false)
	assert.Assert(t, wait > 0)
	assert.Equal(t, len(l.denials.unreachable), 0)
}
