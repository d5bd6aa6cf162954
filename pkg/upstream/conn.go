package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the read buffer of a connection, in bytes.
	readBuffer = 4096
	// defaultIdle is how long an idle connection is used if the target does not
	// announce its own timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is kept to the timeout that a target announces, since a request
	// that crosses its close may or may not run.
	idleMargin = time.Second
)

// conn is a connection to one target. One goroutine uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idleLimit: defaultIdle}
}

// noteKeepAlive takes over the idle timeout of a Keep-Alive header.
func (c *conn) noteKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			announced := time.Duration(seconds) * time.Second
			c.idleLimit = max(announced-idleMargin, announced/2)
		}
	}
}

// usable reports whether an idle connection may carry another request: it is
// not too old, the target has not closed it and has sent nothing unasked.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleLimit && c.reader.Buffered() == 0 && c.silent()
}

// silent looks at the socket without waiting.
func (c *conn) silent() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
