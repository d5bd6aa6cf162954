package gateway

import (
	"context"
	"sync"
)

// inflight counts open requests and stops new ones at shutdown.
type inflight struct {
	mu      sync.Mutex
	count   int
	closing bool
	drained chan struct{} // closed when closing and no request is open
}

func newInflight() *inflight {
	return &inflight{drained: make(chan struct{})}
}

// enter counts a request. It returns false after close.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return false
	}
	f.count++
	return true
}

// leave ends a request that entered.
func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closing && f.count == 0 {
		close(f.drained)
	}
}

// close lets no further request enter.
func (f *inflight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return
	}
	f.closing = true
	if f.count == 0 {
		close(f.drained)
	}
}

// wait returns when no request is open after close, or with the error of ctx.
func (f *inflight) wait(ctx context.Context) error {
	select {
	case <-f.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
