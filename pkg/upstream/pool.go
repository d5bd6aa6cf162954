package upstream

import (
	"sync"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	mu   sync.Mutex
	open int     // number of connections in use, idle or being dialed
	idle []*conn // idle connections, the most recently used last

	lastUsed time.Time // last lookup of the pool; guarded by Client.mu
}

// get returns a usable idle connection on which no request with this id was sent: a late
// second response to that request could not be told from the response to this one. If
// there is none, it returns nil, and
// mayOpen reports whether the caller may open a new connection. If it may, get has
// already counted the new connection as open.
func (p *pool) get(now time.Time, limit int, id string) (c *conn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c = p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.usable(now) && !c.hasSent(id) {
			c.reused = true
			return c, true
		}
		p.open--
		_ = c.Close() // the connection is not used again
	}
	if limit > 0 && p.open >= limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// available reports whether get would return a connection or let the caller open one.
func (p *pool) available(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return limit <= 0 || p.open < limit || len(p.idle) > 0
}

// put adds an idle connection for reuse.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// removeConn decrements the number of open connections after a connection was
// closed or could not be opened.
func (p *pool) removeConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// prune closes idle connections that are no longer usable and reports whether the
// pool has no connections left.
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
		_ = c.Close() // the connection is not used again
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return p.open == 0
}
