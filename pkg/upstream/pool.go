package upstream

import (
	"sync"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	mu   sync.Mutex
	open int     // in use and idle
	idle []*conn // the one used last is at the end

	lookedUp time.Time // guarded by the client's mutex
}

// take returns an idle connection, or nil and whether a new one may be opened.
func (p *pool) take(now time.Time, limit int) (c *conn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c = p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.usable(now) {
			c.reused = true
			return c, true
		}
		p.open--
		_ = c.Close() // the connection is given up
	}
	if limit > 0 && p.open >= limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// put returns a connection for reuse.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// lost gives back the place of a connection that was closed or never opened.
func (p *pool) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// prune closes idle connections that are too old and reports whether the pool
// holds none any more.
func (p *pool) prune(now time.Time) (empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usable(now) {
			kept = append(kept, c)
			continue
		}
		p.open--
		_ = c.Close() // the connection is given up
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return p.open == 0
}
