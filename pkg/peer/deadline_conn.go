package peer

import (
	"net"
	"time"
)

// deadlineConn limits the duration of each write. Without it a peer that stops
// reading would block every call on the connection, since jsonrpc2 writes one
// message at a time and ignores contexts during a write.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes all of p within the timeout. After a failure it closes the
// connection, since the last message may be truncated.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}
