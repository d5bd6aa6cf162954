package engine

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// dialError returns a failure to connect with the given cause.
func dialError(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// Guards against a request that is written after it was reported as not run.
func TestSealedConnectionDoesNotWrite(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := &trackedConn{Conn: here}
	c.begin()
	assert.Assert(t, c.seal())
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, c.seal(), "a refused write is no write")
}

// Guards against "not run" once a write was attempted, even one that failed,
// and against a write for an earlier request that counts for the next one.
func TestWriteAttemptMayHaveRun(t *testing.T) {
	here, there := net.Pipe()
	assert.NilError(t, there.Close())
	c := &trackedConn{Conn: here}
	_, err := c.Write([]byte("x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !c.seal())
	assert.Assert(t, c.wasLost())
	c.begin()
	assert.Assert(t, c.seal())
}
