package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/idle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// probeInterval is the time between two probes of the store while direct calls
	// fail.
	probeInterval = time.Second
	// probeHeadStart is the time after the start of a probe at which the call is also
	// relayed. For a feed call, the time that it waits for a change is added.
	probeHeadStart = 300 * time.Millisecond
	// readTimeout bounds the time without data in a direct read, so that time is left to
	// relay it. A direct write is bounded only by the caller's deadline, because a write
	// that is sent twice costs the store twice.
	readTimeout = time.Second
	// relayTimeout bounds the time without data in a call through one other host. For a
	// feed call, the time that it waits for a change is added.
	relayTimeout = 500 * time.Millisecond
	// throttleGracePeriod is the time after the first call that the store refuses
	// because the call rate is too high. During this time refused calls are not
	// relayed: the store is assumed to refuse the calls of all hosts, and a relayed call
	// would only add to its load.
	throttleGracePeriod = time.Second
	// maxRelaysPerCall is the number of other hosts that one call is sent through.
	maxRelaysPerCall = 2
)

// Rows calls the store directly, and through other hosts while direct calls fail.
// It is safe for concurrent use.
type Rows struct {
	direct storage.Rows
	peers  func() []string
	conns  connPool
	log    *log.Logger

	mu         sync.Mutex
	directDown bool
	probedAt   time.Time // time of the last probe or of the last change of directDown
	answeredAt time.Time // time of the last successful direct call
	lastRelay  string    // address of the host that last relayed a call
	// throttledAt is the time at which the store refused a direct call because the call
	// rate is too high, for the first time since the last successful direct call; zero:
	// no such refusal since then.
	throttledAt time.Time
}

var _ storage.Rows = (*Rows)(nil)

// New returns a Rows that calls the store through direct. peers returns the
// addresses of other hosts in a new slice, which the Rows reorders.
func New(direct storage.Rows, peers func() []string, logger *log.Logger) *Rows {
	return &Rows{direct: direct, peers: peers, log: logger, conns: connPool{log: logger, conns: make(map[string]*peerConn), answeredAt: make(map[string]time.Time)}}
}

// Transact implements storage.Rows.
func (r *Rows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	return callWithRelays(ctx, r, 0, methodTransact, txn, func(ctx context.Context) (storage.RowOutcome, error) { return r.direct.Transact(ctx, txn) })
}

// Range implements storage.Rows.
func (r *Rows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	return callWithRelays(ctx, r, 0, methodRange, rangeParams{Table: table, Part: part, From: from},
		func(ctx context.Context) (storage.RowPage, error) { return r.direct.Range(ctx, table, part, from) })
}

// Parts implements storage.Rows.
func (r *Rows) Parts(ctx context.Context, table string) ([]string, error) {
	return callWithRelays(ctx, r, 0, methodParts, rangeParams{Table: table}, func(ctx context.Context) ([]string, error) { return r.direct.Parts(ctx, table) })
}

// Feed implements storage.Rows.
func (r *Rows) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	return callWithRelays(ctx, r, wait, methodFeed, feedParams{Table: table, Since: since.Number, Era: since.Era, Wait: wait},
		func(ctx context.Context) (storage.RowPage, error) { return r.direct.Feed(ctx, table, since, wait) })
}

// Call calls a method that another host has registered with Server.Handle. An
// error wraps storage.ErrNotApplied or storage.ErrUnavailable.
func (r *Rows) Call(ctx context.Context, peer, method string, params, result any) error {
	if err := r.conns.call(ctx, peer, method, params, result); err != nil {
		return fromWire(peer, err)
	}
	return nil
}

// CallSeparately is Call on a connection of its own, which is closed afterwards: the answers to
// other calls are not sent behind a large one.
func (r *Rows) CallSeparately(ctx context.Context, peer, method string, params, result any) error {
	if err := r.conns.callSeparately(ctx, peer, method, params, result); err != nil {
		return fromWire(peer, err)
	}
	return nil
}

// callWithRelays makes a call directly, then through other hosts. The error is
// storage.ErrNotApplied only if no attempt can have been applied.
func callWithRelays[T any](ctx context.Context, r *Rows, wait time.Duration, method string, params any, direct func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that are open when the call returns
	timeout := time.Duration(0)
	if method != methodTransact {
		timeout = readTimeout + wait
	}
	relayAfter := func(d outcome[T]) (T, error) {
		if d.final() {
			return d.result, d.err
		}
		return combine(d, callRelays[T](ctx, r, wait, method, params))
	}
	use, probe := r.useDirect()
	if !use {
		return relayAfter(outcome[T]{err: errNotAttempted})
	}
	if !probe {
		return relayAfter(callDirect(ctx, r, timeout, direct))
	}
	probed, relayed := make(chan outcome[T], 1), make(chan outcome[T], 1)
	go func() { probed <- callDirect(ctx, r, timeout, direct) }()
	headStart := time.NewTimer(probeHeadStart + wait)
	defer headStart.Stop()
	select {
	case d := <-probed:
		return relayAfter(d)
	case <-headStart.C:
	}
	go func() { relayed <- callRelays[T](ctx, r, wait, method, params) }()
	select {
	case d := <-probed:
		if d.final() {
			return d.result, d.err
		}
		return combine(d, <-relayed)
	case o := <-relayed:
		if o.final() {
			return o.result, o.err
		}
		return combine(<-probed, o)
	}
}

// outcome is the result of an attempt at a call, directly or through other hosts.
type outcome[T any] struct {
	result    T
	err       error
	throttled bool // the call must not be relayed
}

// final reports whether the call needs no other attempt.
func (o outcome[T]) final() bool {
	return o.err == nil || o.throttled || errors.Is(o.err, storage.ErrHistoryGone)
}

// combine returns the result of a call that was attempted directly and through other
// hosts.
func combine[T any](direct, relayed outcome[T]) (T, error) {
	switch {
	case direct.final():
		return direct.result, direct.err
	case relayed.final():
		return relayed.result, relayed.err
	}
	return direct.result, lessCertain(direct.err, relayed.err)
}

// callRelays makes a call through other hosts, one after the other.
func callRelays[T any](ctx context.Context, r *Rows, wait time.Duration, method string, params any) outcome[T] {
	o := outcome[T]{err: errNotAttempted}
	for _, peer := range r.selectRelays() {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := idle.WithTimeout(ctx, relayTimeout+wait)
		var result T
		err := r.conns.call(callCtx, peer, method, params, &result)
		cancel()
		if err == nil {
			r.recordRelay(peer)
			return outcome[T]{result: result}
		}
		err = fromWire(peer, err)
		if errors.Is(err, storage.ErrHistoryGone) {
			return outcome[T]{err: err}
		}
		o.err = lessCertain(o.err, err)
	}
	return o
}

// errNotAttempted is the outcome of a call that was attempted neither directly nor
// through another host.
var errNotAttempted = errors.Join(storage.ErrNotApplied, errors.New("no way to the store"))

// lessCertain combines the errors of two attempts at the same call. It reports
// the call as not applied only if both errors do; otherwise it returns one that
// leaves the outcome unknown.
func lessCertain(a, b error) error {
	if errors.Is(a, storage.ErrNotApplied) {
		return b
	}
	return a
}

// callDirect calls the store directly and records whether that succeeded. timeout bounds
// the time without data; 0: no bound.
func callDirect[T any](ctx context.Context, r *Rows, timeout time.Duration, direct func(context.Context) (T, error)) outcome[T] {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = idle.WithTimeout(ctx, timeout)
		defer cancel()
	}
	start := time.Now()
	result, err := direct(ctx)
	if r.recentlyThrottled(err) {
		return outcome[T]{result: result, err: err, throttled: true}
	}
	r.recordDirectResult(err, start)
	return outcome[T]{result: result, err: err}
}

// useDirect reports whether to call the store directly, and whether the call is a probe.
func (r *Rows) useDirect() (use, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.directDown {
		return true, false
	}
	if time.Since(r.probedAt) < probeInterval {
		return false, false
	}
	r.probedAt = time.Now()
	return true, true
}

// recentlyThrottled updates throttledAt with the result of a direct call. It reports
// whether the store refused this call because the call rate is too high, and the first
// such refusal since the last successful call was less than throttleGracePeriod ago.
func (r *Rows) recentlyThrottled(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.throttledAt = time.Time{}
	}
	if !errors.Is(err, storage.ErrThrottled) {
		return false
	}
	if r.throttledAt.IsZero() {
		r.throttledAt = time.Now()
	}
	return time.Since(r.throttledAt) < throttleGracePeriod
}

// recordDirectResult records whether direct calls succeed, after a call that began at
// start. A call without an answer does not count while others are answered: its reply
// may be too large for its time limit, and the other calls must not wait for a probe.
func (r *Rows) recordDirectResult(err error, start time.Time) {
	failed := err != nil && !errors.Is(err, storage.ErrHistoryGone)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !failed {
		r.answeredAt = time.Now()
	}
	unanswered := errors.Is(err, storage.ErrUnavailable)
	if failed == r.directDown || (unanswered && r.answeredAt.After(start)) {
		return
	}
	r.directDown = failed
	r.probedAt = time.Now()
	if failed {
		r.log.Warn().Err(err).Msg("Direct call to the store failed. Other hosts are asked to relay calls.")
		return
	}
	r.log.Info().Msg("Direct call to the store succeeded. Calls are no longer relayed.")
}

// selectRelays returns the hosts to relay through, starting with the one that
// relayed last.
func (r *Rows) selectRelays() []string {
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, peer := range peers {
		if peer == r.lastRelay {
			peers[0], peers[i] = peers[i], peers[0]
		}
	}
	return peers[:min(len(peers), maxRelaysPerCall)]
}

func (r *Rows) recordRelay(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastRelay != peer {
		r.log.Info().Str("peer", peer).Msg("Call to the store was relayed by another host.")
	}
	r.lastRelay = peer
}
