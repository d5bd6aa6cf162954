package upstream

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// silentPeerSeconds is the time in which a connection to a peer without packets must end, as
// docs/design.md 5.17 states it.
const silentPeerSeconds = 3

// socketOption returns an option of the connection's socket.
func socketOption(t *testing.T, c net.Conn, level, option int) (value int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var optionErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, option) }))
	assert.NilError(t, optionErr)
	return value
}

// Guards against connections that stay open for minutes after their peer has gone silent.
// TCP_USER_TIMEOUT ends those with unacknowledged bytes, and decides for idle ones at which
// keep-alive probe the kernel gives up. A network without packets cannot be set up on
// loopback, so the options are compared.
func TestConnectionToSilentPeerEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := Dialer(DialTimeout).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, socketOption(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), silentPeerSeconds*1000)
	assert.Equal(t, socketOption(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	idle := socketOption(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	interval := socketOption(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	assert.Assert(t, idle+interval <= silentPeerSeconds, "no probe is unanswered after %d s: the first is sent after %d s, the next after %d s more", silentPeerSeconds, idle, interval)
}
