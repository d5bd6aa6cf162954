package engine

import (
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned by writes on a connection after blockIfUnwritten
// blocked it.
var errWritesBlocked = errors.New("connection is sealed")

// trackedConn is a connection to a target that records whether a write of the
// current request was attempted and whether the connection was lost. It carries
// one request at a time. It is safe for concurrent use.
type trackedConn struct {
	net.Conn

	mu             sync.Mutex
	writeAttempted bool // whether a write was attempted for the current request
	writesBlocked  bool // whether further writes fail
	lost           bool // whether a read or write failed other than because this side closed the connection
}

// beginRequest resets the tracking for a new request on the connection.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeAttempted = false
}

// blockIfUnwritten reports whether no write of the current request was attempted.
// If so, it blocks later writes, so that the result remains true.
func (c *trackedConn) blockIfUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeAttempted {
		c.writesBlocked = true
	}
	return !c.writeAttempted
}

// wasLost reports whether the peer or the network ended the connection.
func (c *trackedConn) wasLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// Write implements net.Conn. A failed write counts as an attempt even if the
// kernel accepted no byte.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.allowWrite() {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(p)
	c.recordLoss(err)
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordLoss(err)
	return n, err
}

// allowWrite reports whether writes are allowed and, if so, records a write attempt.
func (c *trackedConn) allowWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeAttempted = c.writeAttempted || !c.writesBlocked
	return !c.writesBlocked
}

// recordLoss records the connection as lost if err is an error other than
// net.ErrClosed.
func (c *trackedConn) recordLoss(err error) {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}
