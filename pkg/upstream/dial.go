package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the setup of a connection to a target. A target in
	// reach answers within milliseconds; another one can take the request.
	DialTimeout = 400 * time.Millisecond
	// silenceTimeout closes a connection whose peer confirms nothing.
	silenceTimeout = 3 * time.Second
	probeInterval  = time.Second
	probeCount     = 3
)

// Dialer connects with a bound on unconfirmed data and with keep-alive probes,
// since a partition drops packets without a reset.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		ControlContext:  limitSilence,
	}
}

func limitSilence(_ context.Context, _, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
