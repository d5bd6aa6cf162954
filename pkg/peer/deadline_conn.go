package peer

import (
	"net"
	"time"
)

// deadlineConn bounds each write. Without it a peer that stops reading would
// block every call on the connection, since jsonrpc2 writes one message at a time
// and does not watch contexts meanwhile.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes all of p within the timeout or closes the connection, whose
// stream is then cut within a message.
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
