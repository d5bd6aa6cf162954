package peer

import (
	"github.com/sourcegraph/jsonrpc2"
)

// clientConn is one connection of a client.
type clientConn struct {
	rpc     *jsonrpc2.Conn
	silence silence
}

// answered takes note of a reply.
func (c *clientConn) answered() {
	c.silence.end()
}

// unanswered takes note of a call that ended without a reply.
func (c *clientConn) unanswered() {
	if c.silence.extend() {
		c.rpc.Close()
	}
}

// broken reports whether the connection has ended.
func (c *clientConn) broken() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}
