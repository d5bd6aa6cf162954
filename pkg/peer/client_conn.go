package peer

import (
	"github.com/sourcegraph/jsonrpc2"
)

// clientConn is one connection of a client. It closes itself after too many
// unanswered calls.
type clientConn struct {
	rpc        *jsonrpc2.Conn
	unanswered unansweredCalls
}

// recordReply records a reply of the peer.
func (c *clientConn) recordReply() {
	c.unanswered.reset()
}

// recordNoReply records a call that ended without a reply and closes the
// connection if the limits of unansweredCalls are reached.
func (c *clientConn) recordNoReply() {
	if c.unanswered.add() {
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
