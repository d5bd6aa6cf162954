package bundle

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// ErrOlderHead means that the table names a lower version than the one held.
var ErrOlderHead = errors.New("table names an older bundle than the one in force here")

// held is the version of a watcher.
type adoptedVersion struct {
	accepted *Accepted
	index    *Index
	raw      []byte
}

// Watcher keeps the newest version that a daemon knows. It learns of versions
// by polling the table and from peers, and never returns to a lower one.
type Watcher struct {
	config    WatcherConfig
	current   atomic.Pointer[adoptedVersion]
	mu        sync.Mutex // orders adoptions
	confirmed atomic.Pointer[time.Time]
}

// NewWatcher returns a watcher that holds no version.
func NewWatcher(config WatcherConfig) *Watcher {
	w := &Watcher{config: config.withDefaults()}
	start := w.config.Now()
	w.confirmed.Store(&start)
	return w
}

// Run polls until ctx ends and returns the cause.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.config.PollEvery)
	defer ticker.Stop()
	for {
		w.config.OnPoll(w.pollOnce(ctx))
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

func (w *Watcher) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.config.Timeout)
	defer cancel()
	return w.Poll(ctx)
}

// Poll reads the head once and adopts a higher version. If the table holds
// another bundle under the held version, the table's replaces it. It returns
// ErrNoBundle, ErrOlderHead, ErrCorrupt or platform.ErrUnavailable (wrapped);
// the held version stays in force with each of them.
func (w *Watcher) Poll(ctx context.Context) error {
	pollStarted := w.config.Now()
	before := w.Version()
	head, err := w.config.Store.Head(ctx)
	if err != nil {
		return err
	}
	if w.isHeld(head) {
		w.confirm(pollStarted)
		return nil
	}
	if head.Version < before {
		return fmt.Errorf("%w: table %d, here %d", ErrOlderHead, head.Version, before)
	}
	accepted, err := w.config.Store.readAccepted(ctx, head)
	if err != nil {
		return err
	}
	newest, err := w.adoptFromTable(accepted, head)
	if newest {
		w.confirm(pollStarted)
	}
	return err
}

// Offer takes a version that a peer pushed, in the form of Adoption.Raw. It
// adopts the version if it is higher than the one held and its signatures
// prove its acceptance, see Accepted. A version that is not higher is ignored
// without an error.
func (w *Watcher) Offer(raw []byte) (adopted bool, err error) {
	if len(raw) > 0 && bytes.Equal(raw, w.Raw()) { // several peers push the same version; decoding takes 15 ms at the design size
		return false, nil
	}
	accepted, err := DecodeAccepted(raw)
	if err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if accepted.Bundle.Version <= w.Version() {
		return false, nil
	}
	if err := accepted.verifyFrom(w.Version(), w.trust()); err != nil {
		return false, fmt.Errorf("pushed bundle: %w", err)
	}
	return true, w.publish(accepted, FromPeer)
}

// Current returns the newest version, nil if none is known.
func (w *Watcher) Current() *Index {
	if h := w.current.Load(); h != nil {
		return h.index
	}
	return nil
}

// Raw returns the newest version in the form that peers take, nil if none is known.
func (w *Watcher) Raw() []byte {
	if h := w.current.Load(); h != nil {
		return h.raw
	}
	return nil
}

// Version returns the number of the newest version, 0 if none is known.
func (w *Watcher) Version() uint64 {
	if h := w.current.Load(); h != nil {
		return h.index.Bundle.Version
	}
	return 0
}

// Unconfirmed returns how long ago the table last confirmed that the held
// version is the newest, or the time since NewWatcher if it never did.
func (w *Watcher) Unconfirmed() time.Duration {
	return max(0, w.config.Now().Sub(*w.confirmed.Load()))
}

// Stale reports whether the bundle's own policy refuses new requests because
// it has been unconfirmed for too long.
func (w *Watcher) Stale() bool {
	index := w.Current()
	if index == nil || index.Bundle.StaleBundle != RefuseStale {
		return false
	}
	limit := time.Duration(index.Bundle.StaleBundleSeconds) * time.Second
	return w.Unconfirmed() > limit
}

// holds reports whether the head names exactly the held version.
func (w *Watcher) isHeld(head Head) bool {
	h := w.current.Load()
	return h != nil && h.index.Bundle.Version == head.Version && h.index.Digest == head.Digest
}

// confirm records the time at which the poll started, since the head may have
// changed while the reply was on its way.
func (w *Watcher) confirm(pollStarted time.Time) { w.confirmed.Store(&pollStarted) }

func (w *Watcher) trust() Trust {
	if h := w.current.Load(); h != nil {
		return TrustOf(h.accepted.Bundle)
	}
	return BootstrapTrust(w.config.Bootstrap)
}

// adoptFromTable adopts what the head names and reports whether it is now held.
// It is not if a peer pushed a higher version while the table was being read.
func (w *Watcher) adoptFromTable(accepted *Accepted, head Head) (newest bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if head.Version < w.Version() {
		return false, nil
	}
	if w.isHeld(head) {
		return true, nil
	}
	if err := w.publish(accepted, FromTable); err != nil {
		return false, err
	}
	return true, nil
}

// put publishes a version. The caller holds mu.
func (w *Watcher) publish(accepted *Accepted, source Source) error {
	index, err := NewIndex(accepted.Bundle)
	if err != nil {
		return err
	}
	raw, err := accepted.Encode()
	if err != nil {
		return err
	}
	w.current.Store(&adoptedVersion{accepted: accepted, index: index, raw: raw})
	w.config.OnAdopt(Adoption{Index: index, Source: source, Raw: raw})
	return nil
}
