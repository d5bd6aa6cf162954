package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection from a caller.
type Conn struct {
	*net.TCPConn
	listener  *Listener
	overLimit bool
	// received is whether bytes were read since the connection was accepted or became
	// idle. The server reports a request only some time after it has read its first bytes.
	// It is set while the first bytes still wait, so that they are always seen as unread or
	// as received.
	received atomic.Bool
	head     head
	expected float64 // bytes that the intake expects; only the server's goroutine uses it after add

	// The listener's mutex protects the fields below.
	state   http.ConnState
	changed time.Time // when state was set
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.received.Load() {
		c.awaitBytes()
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.listener.meter.AddReceived(n)
		if headErr := c.head.count(p[:n]); headErr != nil {
			return 0, c.refuseHead(headErr)
		}
	}
	return n, err
}

// awaitBytes waits until a read would not wait, and records whether there are bytes to read.
func (c *Conn) awaitBytes() {
	raw, err := c.SyscallConn()
	if err != nil {
		return // the read that follows returns the error
	}
	_ = raw.Read(func(fd uintptr) bool { // the read that follows returns the error
		found := peek(fd)
		if found == unreadBytes {
			c.received.Store(true)
		}
		return found != unreadNothing
	})
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.listener.meter.AddSent(n)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}

// Announce tells the intake of the listener the length of a body whose head has arrived; below 0,
// it is not known. It must be called in the handler of the request.
func (c *Conn) Announce(bodyBytes int64) {
	if bodyBytes >= 0 {
		c.listener.intake.Announced(bodyBytes, c.expected, time.Now())
	}
	c.expected = 0
}

// OverLimit reports whether the connection was accepted beyond the limit, so that its
// request should be refused.
func (c *Conn) OverLimit() bool { return c.overLimit }

// PeerClosed reports whether the caller has closed its side of the connection and no bytes
// are left to read. The server learns of it only when it reads.
func (c *Conn) PeerClosed() bool { return c.unread() == unreadEnd }

// BytesWait reports whether bytes of the caller wait to be read.
func (c *Conn) BytesWait() bool { return c.unread() == unreadBytes }

// unread is what a read of a connection would return.
type unread int

const (
	unreadNothing unread = iota // a read would wait
	unreadBytes                 // bytes of the caller
	unreadEnd                   // the end of the connection, or an error
)

// unread looks at the unread bytes of the connection without consuming them.
func (c *Conn) unread() unread {
	raw, err := c.SyscallConn()
	if err != nil {
		return unreadEnd
	}
	result := unreadEnd
	// Control, unlike Read, does not wait for a concurrent read of the server.
	err = raw.Control(func(fd uintptr) {
		result = peek(fd)
	})
	if err != nil {
		return unreadEnd
	}
	return result
}

// peek looks at the unread bytes of a socket.
func peek(fd uintptr) unread {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return unreadNothing
		case err == nil && n > 0:
			return unreadBytes
		default:
			return unreadEnd
		}
	}
}

// mayBeClosed reports whether closing the connection loses no request that has arrived.
// The caller holds the listener's mutex.
func (c *Conn) mayBeClosed(now time.Time) bool {
	switch {
	case c.state == http.StateIdle:
	case c.state == http.StateNew && now.Sub(c.changed) >= firstRequestTimeout:
	default:
		return false
	}
	// In this order: bytes that were read before the first look are seen by the second.
	return c.unread() != unreadBytes && !c.received.Load()
}

type connKey struct{}

// ConnContext stores the connection of a request in its context. It is a ConnContext
// function of http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection on which the request with the given context has
// arrived, or nil if ConnContext did not store one.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
