package httpstrict

import (
	"context"
	"net"
	"sync"
)

// DialContext returns a function for http.Transport that dials with d. Its connections read as a
// Conn does.
func DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &transportConn{Conn: NewConn(c), inputEnded: make(chan struct{})}, nil
	}
}

// transportConn is a Conn whose Write does not return an error before Read has returned one, or
// Close was called. http.Transport closes a connection whose write has failed, and would lose a
// response that has arrived.
type transportConn struct {
	*Conn

	endInput   sync.Once
	inputEnded chan struct{} // closed when Read has returned an error or Close was called
}

// Read implements net.Conn.
func (c *transportConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endInput.Do(func() { close(c.inputEnded) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *transportConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.inputEnded
	}
	return n, err
}

// Close implements net.Conn.
func (c *transportConn) Close() error {
	c.endInput.Do(func() { close(c.inputEnded) })
	return c.Conn.Close()
}
