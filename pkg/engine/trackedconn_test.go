package engine

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// dialError returns a connection failure with the given cause.
func dialError(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// Guards against writing a request after it was reported as "not run".
func TestBlockedConnectionDoesNotWrite(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &trackedConn{Conn: local}
	c.beginRequest()
	assert.Assert(t, c.blockIfUnwritten())
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errWritesBlocked)
	assert.Assert(t, c.blockIfUnwritten(), "a blocked write must not count as a write attempt")
}

// Guards against reporting "not run" after a write attempt, even a failed one, and
// against counting the write of an earlier request for the next one.
func TestWriteAttemptMayHaveRun(t *testing.T) {
	local, remote := net.Pipe()
	assert.NilError(t, remote.Close())
	c := &trackedConn{Conn: local}
	_, err := c.Write([]byte("x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !c.blockIfUnwritten())
	assert.Assert(t, c.wasLost())
	c.beginRequest()
	assert.Assert(t, c.blockIfUnwritten())
}
