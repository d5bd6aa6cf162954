package gateway

import (
	"context"
	"sync"
)

// inflight counts requests in progress and rejects new ones after shutdown has begun.
type inflight struct {
	mu      sync.Mutex
	count   int
	closing bool
	drained chan struct{} // closed after close was called and the last request has ended
}

func newInflight() *inflight {
	return &inflight{drained: make(chan struct{})}
}

// begin counts a new request. It returns false if close was called.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return false
	}
	f.count++
	return true
}

// end ends a request for which begin returned true.
func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closing && f.count == 0 {
		close(f.drained)
	}
}

// close makes begin return false from now on.
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

// wait waits until close was called and no request is in progress. It returns the error
// of ctx if ctx ends earlier.
func (f *inflight) wait(ctx context.Context) error {
	select {
	case <-f.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
