package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// probeInterval is the time between two calls on the direct way while it is down.
	probeInterval = time.Second
	// probeTimeout bounds such a call.
	probeTimeout = 300 * time.Millisecond
	// readTimeout bounds a read on the direct way, so that time is left for the
	// others. Writes take all their time: sent twice, they cost the store twice.
	readTimeout = time.Second
	// relayTimeout bounds a call by way of one other host, beside its own wait.
	relayTimeout = 500 * time.Millisecond
	// throttleTerm is how long the store may refuse calls for their number before
	// other hosts are asked: until then it is taken to refuse all hosts alike, and
	// a relayed call would be one more.
	throttleTerm = time.Second
	// maxRelays is the number of other hosts that one call is sent by.
	maxRelays = 2
)

// Rows reaches the store directly, and by way of other hosts while that fails.
// It is safe for concurrent use.
type Rows struct {
	direct storage.Rows
	peers  func() []string
	links  links
	log    *log.Logger

	mu       sync.Mutex
	down     bool
	probedAt time.Time
	last     string // the host that relayed last
	// throttledAt is when the store first refused a call for their number since
	// it last took one; zero: it has not.
	throttledAt time.Time
}

var _ storage.Rows = (*Rows)(nil)

// New returns the two ways to the store. peers returns the addresses of other hosts.
func New(direct storage.Rows, peers func() []string, logger *log.Logger) *Rows {
	return &Rows{direct: direct, peers: peers, log: logger, links: links{conns: make(map[string]*jsonrpc2.Conn), answered: make(map[string]time.Time)}}
}

// Transact implements storage.Rows.
func (r *Rows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	return do(ctx, r, 0, methodTransact, txn, func(ctx context.Context) (storage.RowOutcome, error) { return r.direct.Transact(ctx, txn) })
}

// Range implements storage.Rows.
func (r *Rows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	return do(ctx, r, 0, methodRange, rangeParams{Table: table, Part: part, From: from},
		func(ctx context.Context) (storage.RowPage, error) { return r.direct.Range(ctx, table, part, from) })
}

// Parts implements storage.Rows.
func (r *Rows) Parts(ctx context.Context, table string) ([]string, error) {
	return do(ctx, r, 0, methodParts, rangeParams{Table: table}, func(ctx context.Context) ([]string, error) { return r.direct.Parts(ctx, table) })
}

// Feed implements storage.Rows.
func (r *Rows) Feed(ctx context.Context, table string, since uint64, wait time.Duration) (storage.RowPage, error) {
	return do(ctx, r, wait, methodFeed, feedParams{Table: table, Since: since, Wait: wait},
		func(ctx context.Context) (storage.RowPage, error) { return r.direct.Feed(ctx, table, since, wait) })
}

// Call calls a method that another host has added to its server. An error is
// storage.ErrNotApplied or storage.ErrUnavailable, wrapped.
func (r *Rows) Call(ctx context.Context, peer, method string, params, result any) error {
	if err := r.links.call(ctx, peer, method, params, result); err != nil {
		return fromWire(peer, err)
	}
	return nil
}

// do makes a call directly, then by way of other hosts. The error says that
// nothing was done only if that holds for every way that was tried.
func do[T any](ctx context.Context, r *Rows, wait time.Duration, method string, params any, direct func(context.Context) (T, error)) (T, error) {
	var result T
	err := errNotTried
	if use, timeout := r.useDirect(); use {
		if timeout == 0 && method != methodTransact {
			timeout = readTimeout
		}
		result, err = callDirect(ctx, timeout, wait, direct)
		if r.isThrottled(err) {
			return result, err
		}
		r.note(err)
		if err == nil || errors.Is(err, storage.ErrHistoryGone) {
			return result, err
		}
	}
	for _, peer := range r.relays() {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
		var relayed T
		relayErr := r.links.call(callCtx, peer, method, params, &relayed)
		cancel()
		if relayErr == nil {
			r.relayed(peer)
			return relayed, nil
		}
		relayErr = fromWire(peer, relayErr)
		if errors.Is(relayErr, storage.ErrHistoryGone) {
			return result, relayErr
		}
		err = weaker(err, relayErr)
	}
	return result, err
}

// errNotTried is the outcome of a call that went no way at all.
var errNotTried = errors.Join(storage.ErrNotApplied, errors.New("no way to the store"))

// weaker returns the error that claims less of two attempts at the same call.
func weaker(a, b error) error {
	if errors.Is(a, storage.ErrNotApplied) {
		return b
	}
	return a
}

func callDirect[T any](ctx context.Context, timeout, wait time.Duration, direct func(context.Context) (T, error)) (T, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout+wait)
		defer cancel()
	}
	return direct(ctx)
}

// useDirect reports whether the direct way is tried, and the bound of a probe.
func (r *Rows) useDirect() (use bool, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return true, 0
	}
	if time.Since(r.probedAt) < probeInterval {
		return false, 0
	}
	r.probedAt = time.Now()
	return true, probeTimeout
}

// isThrottled reports whether a call was refused for the number of calls, and
// only lately so.
func (r *Rows) isThrottled(err error) bool {
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
	return time.Since(r.throttledAt) < throttleTerm
}

// note remembers whether the direct way works.
func (r *Rows) note(err error) {
	failed := err != nil && !errors.Is(err, storage.ErrHistoryGone)
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed == r.down {
		return
	}
	r.down = failed
	r.probedAt = time.Now()
	if failed {
		r.log.Warn().Err(err).Msg("Store does not answer this host. Other hosts are asked to relay.")
		return
	}
	r.log.Info().Msg("Store answers this host again.")
}

// relays returns the hosts to ask, the one that relayed last first.
func (r *Rows) relays() []string {
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, peer := range peers {
		if peer == r.last {
			peers[0], peers[i] = peers[i], peers[0]
		}
	}
	return peers[:min(len(peers), maxRelays)]
}

func (r *Rows) relayed(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last != peer {
		r.log.Info().Str("peer", peer).Msg("Store is reached by way of another host.")
	}
	r.last = peer
}
