package peer

import "sync"

// callGroup runs calls until it is closed. Unlike with a sync.WaitGroup alone,
// start may be called concurrently with close.
type callGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs f in a goroutine, or does nothing if the group was closed.
func (g *callGroup) start(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(f)
	}
}

// close prevents the start of further calls and waits for the running ones.
func (g *callGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
