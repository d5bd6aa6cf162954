package engine

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("connection is sealed")

// trackedConn is a connection to a target that knows whether the current
// request has begun to be written and whether the peer ended the connection.
// It carries one request at a time. It is safe for concurrent use.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	touched bool // a write was attempted for the current request
	sealed  bool // no further write is possible
	lost    bool // a read or write failed other than by closing the connection here
}

// begin starts tracking a new request on the connection.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touched = false
}

// seal reports whether no byte of the current request was written. If so, it
// makes writes impossible, so that the statement remains true.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.touched {
		c.sealed = true
	}
	return !c.touched
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
	if !c.touch() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.observe(err)
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.observe(err)
	return n, err
}

// touch records a write attempt and reports whether it is allowed.
func (c *trackedConn) touch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touched = c.touched || !c.sealed
	return !c.sealed
}

// observe records the loss of the connection.
func (c *trackedConn) observe(err error) {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}
