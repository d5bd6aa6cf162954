package ratelimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// askTimeout is how long a request waits for the answer of an issuer. Hosts answer within
	// a few milliseconds; a request has other targets.
	askTimeout = 100 * time.Millisecond
	// callTimeout bounds the call to the issuer. It is longer, as the connection may be closed
	// after a call that was not answered and other calls use it too.
	callTimeout = time.Second
	// unreachableTime is how long an issuer that has not answered is not asked.
	unreachableTime = 500 * time.Millisecond
	// maxAsks is the number of issuers that one request asks for a permit for one target.
	maxAsks = 2
	// unaskedWait is the wait for a permit if there are issuers that were not asked.
	unaskedWait = 20 * time.Millisecond
)

// Acquire gets a permit to send one request to a target. It returns a wait of 0 if the request
// may be sent at once, and otherwise the time after which a permit may be had. asked is the
// number of other hosts that were asked. Light requests get the permits that others leave.
func (l *Limiter) Acquire(ctx context.Context, t Target, light bool) (wait time.Duration, asked int) {
	if len(l.Limited()) == 0 {
		return 0, 0
	}
	for {
		limit, issuer, next := l.nextIssuer(t, light, time.Now(), asked)
		if issuer == "" {
			return next, asked
		}
		if l.ask(ctx, issuer, limit, light) {
			return 0, asked
		}
		if issuer != l.Self {
			asked++
		}
	}
}

// nextIssuer returns the limit of a target and the issuer to ask next: this host if it is one,
// otherwise any. It returns no issuer if none is to be asked, with the time after which one is;
// the time is 0 if the target has no limit.
func (l *Limiter) nextIssuer(t Target, light bool, now time.Time, asked int) (limit Limit, issuer string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limitOf(t, now)
	if !limited {
		return limit, "", 0
	}
	issuers := l.views.issuersOf(t)
	if len(issuers) == 0 {
		return limit, "", unaskedWait // the hosts are not known yet
	}
	wait = maxWait
	var free []string
	for _, host := range issuers {
		until := l.denials.until(host, t, light)
		if now.Before(until) {
			wait = min(wait, until.Sub(now))
			continue
		}
		if host == l.Self {
			return limit, host, 0
		}
		free = append(free, host)
	}
	if len(free) == 0 {
		return limit, "", wait
	}
	if asked >= maxAsks {
		return limit, "", min(wait, unaskedWait)
	}
	return limit, free[rand.IntN(len(free))], 0
}

// ask asks an issuer for a permit and records a denial.
func (l *Limiter) ask(ctx context.Context, issuer string, limit Limit, light bool) (granted bool) {
	reply, err := l.call(ctx, issuer, PermitRequest{Host: l.Self, Limit: limit, Light: light})
	now := time.Now()
	if err != nil {
		l.recordNoAnswer(ctx, issuer, limit.Target, light, err, now)
		return false
	}
	if reply.Limit.Revision > 0 {
		l.Receive(reply.Limit, now)
	}
	l.mu.Lock()
	l.denials.setReachable(issuer)
	if !reply.Granted {
		l.denials.deny(issuer, limit.Target, light, now.Add(min(max(reply.Wait, time.Millisecond), maxWait)), now)
	}
	l.mu.Unlock()
	l.CountPermit(resultOf(reply))
	return reply.Granted
}

// PermitsLate reports whether permits are withheld at present only because the answers of issuers
// are late.
func (l *Limiter) PermitsLate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.denials.onlyLate(now)
}

// recordNoAnswer records that an issuer did not answer, unless the request itself has ended.
func (l *Limiter) recordNoAnswer(ctx context.Context, issuer string, t Target, light bool, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		l.denials.deny(issuer, t, light, now.Add(unaskedWait), now) // ends Acquire
		return
	}
	l.CountPermit(Unanswered)
	if l.denials.setUnreachable(issuer, now.Add(unreachableTime), errors.Is(err, context.DeadlineExceeded)) {
		l.Log.Info().Err(err).Str("peer", issuer).Str("target", t.ID).Msg("Issuer of permits did not answer. Others are asked for 0.5 s.")
	}
}

// call calls an issuer, or this host itself, and waits at most askTimeout for the answer.
func (l *Limiter) call(ctx context.Context, issuer string, r PermitRequest) (PermitReply, error) {
	if issuer == l.Self {
		return l.Issue(r, time.Now()), nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type result struct {
		reply PermitReply
		err   error
	}
	answered := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		reply, err := l.Ask(callCtx, issuer, r)
		answered <- result{reply, err}
	}()
	select {
	case r := <-answered:
		return r.reply, r.err
	case <-waitCtx.Done():
		return PermitReply{}, waitCtx.Err()
	}
}
