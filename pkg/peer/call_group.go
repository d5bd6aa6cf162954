package peer

import "sync"

// callGroup runs calls until it is closed. Unlike a sync.WaitGroup alone it
// may be asked to start a call while it closes.
type callGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs f in a goroutine, or drops it if the group was closed.
func (g *callGroup) start(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(f)
	}
}

// close drops later calls and waits for the running ones.
func (g *callGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
