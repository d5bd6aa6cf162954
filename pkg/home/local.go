package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
)

// Errors of a Local authority.
var (
	// ErrLeaving means that the daemon is stopping and the caller should ask
	// another daemon.
	ErrLeaving = errors.New("home is leaving")
	// ErrNoPolicy means that this daemon's bundle does not contain the customer
	// and the caller should ask another daemon.
	ErrNoPolicy = errors.New("customer is not in this home's bundle")
	// ErrStopped means that the control goroutine has ended.
	ErrStopped = errors.New("home stopped")
)

const (
	// tickInterval is the time between ticks while requests or lines wait.
	tickInterval = 20 * time.Millisecond
	// idleInterval is the time between ticks while nothing waits. With the shorter
	// tickInterval, timer wake-ups took a large part of an idle daemon's CPU time.
	idleInterval = 100 * time.Millisecond
	// sweepInterval is the time between sweeps of grants, requests and attempts.
	sweepInterval = time.Second
	inboxSize     = 4096 // messages; senders block while the inbox is full
)

// message changes the control state of a Local. The control goroutine runs
// handle, which must not do I/O.
type message interface {
	handle(l *Local, now time.Time)
}

// Local is the authority of one daemon over the budgets whose home it is. The
// control goroutine, which calls Run, owns its state; other goroutines send it
// messages.
type Local struct {
	opts    Options
	inbox   chan message
	done    chan struct{} // closed when Run returns
	leaving bool
	async   func(func()) // runs I/O outside the control goroutine

	ledger         *budget.Ledger
	registry       *claim.Registry
	budgets        map[string]*budgetState
	grants         map[string]*grantState
	settled        map[string]*settlement   // by stream id, until the grant is closed
	grantsToFlush  map[string]struct{}      // ids of grants with queued lines
	lines          map[string]lineState     // by line key, while the registry knows the request
	claims         map[string]*pendingClaim // by stream id, while the claim row is being written
	attempts       map[string]openAttempt   // by stream id
	crashRows      map[string]uint64        // version of the crash row, by fingerprint
	waiters        []*waiter                // reservations that wait for a grant, in order of arrival
	budgetsToWake  map[string]struct{}      // ids of budgets whose waiters are tried again
	closedGrants   *closedGrants
	calls          openCalls
	released       map[string]time.Time // time of release, by id of a call that must not be granted any more
	nextGrant      uint64
	lastFlush      time.Time
	lastSweep      time.Time
	entryQueriedAt time.Time // when entry daemons were last queried
}

// NewLocal returns an authority that serves requests while Run runs.
func NewLocal(opts Options) *Local {
	l := &Local{
		opts:  opts.withDefaults(),
		inbox: make(chan message, inboxSize),
		done:  make(chan struct{}),
		async: func(f func()) { go f() },
	}
	l.clear()
	return l
}

// clear drops all control state.
func (l *Local) clear() {
	l.ledger = budget.NewLedger()
	l.registry = claim.NewRegistry(l.opts.CrashLimit)
	l.budgets = make(map[string]*budgetState)
	l.grants = make(map[string]*grantState)
	l.grantsToFlush = make(map[string]struct{})
	l.settled = make(map[string]*settlement)
	l.lines = make(map[string]lineState)
	l.claims = make(map[string]*pendingClaim)
	l.attempts = make(map[string]openAttempt)
	l.crashRows = make(map[string]uint64)
	l.closedGrants = &closedGrants{
		table:     l.opts.Table,
		committer: l.opts.Committer,
		observer:  l.opts.Observer,
		async:     func(f func()) { l.async(f) },
		waiting:   make(map[string][]*settleMessage),
	}
	l.calls = newOpenCalls()
	l.released = make(map[string]time.Time)
	l.waiters = nil
	l.budgetsToWake = make(map[string]struct{})
}

// Run handles messages and timers until ctx ends. The goroutine that calls it is the
// control goroutine.
func (l *Local) Run(ctx context.Context) {
	defer close(l.done)
	l.loadCrashes(ctx)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	idle := false // the timer was set to idleInterval
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.process(m)
			if idle && !l.idle() {
				idle = false
				timer.Reset(tickInterval)
			}
		case <-timer.C:
			now := l.opts.Now()
			l.tick(now)
			l.wakeMarkedBudgets(now)
			idle = l.idle()
			timer.Reset(tickDelay(idle))
		}
	}
}

// idle reports whether no waiter, claim or line waits for the next tick.
func (l *Local) idle() bool {
	return len(l.waiters)+len(l.claims)+len(l.grantsToFlush) == 0
}

// tickDelay returns the time until the next tick.
func tickDelay(idle bool) time.Duration {
	if idle {
		return idleInterval
	}
	return tickInterval
}

// process handles one message and then tries the waiters of the budgets that the
// message marked.
func (l *Local) process(m message) {
	now := l.opts.Now()
	m.handle(l, now)
	l.wakeMarkedBudgets(now)
}

// post sends a message to the control goroutine. It drops the message if Run has
// ended.
func (l *Local) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.done:
	}
}

// send sends a message to the control goroutine. It returns an error if Run has
// ended or ctx ends first.
func (l *Local) send(ctx context.Context, m message) error {
	select {
	case l.inbox <- m:
		return nil
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("send to home: %w", ctx.Err())
	}
}

func (l *Local) tick(now time.Time) {
	l.expireWaiters(now)
	l.expireClaims(now)
	if now.Sub(l.lastFlush) >= l.opts.FlushInterval {
		l.lastFlush = now
		l.flushLines(now)
	}
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.lastSweep = now
		l.closeGrants(now)
		l.sweepRequests(now)
		l.expireAttempts(now)
		l.queryEntryDaemons(now)
		l.sweepReleased(now)
	}
}

func (l *Local) sweepRequests(now time.Time) {
	for _, e := range l.registry.Sweep(now) {
		delete(l.lines, budget.LineKey(e.Customer, e.Request))
	}
}

// Reserve implements Authority.
func (l *Local) Reserve(ctx context.Context, req ReserveRequest) (ReserveReply, error) {
	m := &reserveMessage{req: req, reply: make(chan reserveResult, 1)}
	if err := l.send(ctx, m); err != nil {
		return ReserveReply{}, err
	}
	select {
	case r := <-m.reply:
		return r.reply, r.err
	case <-l.done:
		return ReserveReply{}, ErrStopped
	case <-ctx.Done():
		l.releaseAbandoned(m)
		return ReserveReply{}, fmt.Errorf("reserve: %w", ctx.Err())
	}
}

// releaseAbandoned releases a reservation that is granted after its caller
// stopped waiting.
func (l *Local) releaseAbandoned(m *reserveMessage) {
	go func() {
		select {
		case r := <-m.reply:
			if r.reply.Outcome == Granted {
				l.post(&settleMessage{req: m.req.undispatched(r.reply.Stream)})
			}
		case <-l.done:
		}
	}()
}

// Settle implements Authority. It returns when the result is known or ctx ends.
func (l *Local) Settle(ctx context.Context, req SettleRequest) (SettleReply, error) {
	m := &settleMessage{req: req, reply: make(chan SettleReply, 1)}
	if err := l.send(ctx, m); err != nil {
		return SettleReply{}, err
	}
	select {
	case r := <-m.reply:
		return r, nil
	case <-l.done:
		return SettleReply{}, ErrStopped
	case <-ctx.Done():
		return SettleReply{Durable: false}, nil
	}
}

// undispatched returns the settlement of a reservation that was not dispatched.
func (r ReserveRequest) undispatched(stream string) SettleRequest {
	return SettleRequest{
		Customer:    r.Customer,
		Budget:      r.Budget,
		Request:     r.Request,
		Grant:       budget.GrantOfStream(stream),
		Stream:      stream,
		Target:      r.Target,
		Entry:       r.Entry,
		Fingerprint: r.Fingerprint,
		Outcome:     NotDispatched,
		Final:       true,
		UsageKnown:  true,
		Bound:       r.Bound,
		Call:        r.Call,
	}
}

var _ Authority = (*Local)(nil)
