package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the setup of a connection to a target. A reachable target
	// accepts a connection within milliseconds; if a target does not, the request can
	// be sent to another target.
	DialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is the time after which the kernel closes a connection
	// whose peer has not acknowledged sent data.
	unacknowledgedTimeout = 3 * time.Second
	// probeInterval is the idle time before the first TCP keep-alive probe and the
	// time between two probes.
	probeInterval = time.Second
	// probeCount is the number of unanswered keep-alive probes after which the kernel
	// closes a connection.
	probeCount = 3
)

// Dialer returns a dialer whose connections have a time limit for unacknowledged
// data and keep-alive probes, since a network partition drops packets without a
// reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		ControlContext:  setUserTimeout,
	}
}

func setUserTimeout(_ context.Context, _, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
