package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peppertrail/peppertrail/pkg/bandwidth"
	"github.com/peppertrail/peppertrail/pkg/httpstrict"
)

const (
	// readBufferSize is the size of the read buffer of a connection, in bytes.
	readBufferSize = 4096
	// maxHeadBytes is the maximum size of the status line and the header of a response,
	// in bytes.
	maxHeadBytes = 64 << 10
	// maxHeadTime is the time from the first to the last byte of a head after which a
	// target that has not sent the last one by the deadline has failed. Targets send a
	// head in one piece.
	maxHeadTime = 100 * time.Millisecond
	// defaultIdleLimit is how long a connection may be idle before it is no longer
	// reused, if the target does not announce its own timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a target announces: if the
	// target closes the connection while a request is in transit, it is unknown
	// whether the request runs.
	idleMargin = time.Second
)

// conn is a connection to one target. One goroutine uses it at a time.
type conn struct {
	*httpstrict.Conn
	input     *limitedInput
	reader    *bufio.Reader // reads from input
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
	sentIDs   []string // ids of the last requests sent, at most maxSentIDs
	// headStartedAt is when the first byte of the head that is being read arrived; zero:
	// none has arrived.
	headStartedAt time.Time
}

func newConn(c *httpstrict.Conn, meter *bandwidth.Meter) *conn {
	input := &limitedInput{in: c, meter: meter}
	return &conn{Conn: c, input: input, reader: bufio.NewReaderSize(input, readBufferSize), idleLimit: defaultIdleLimit}
}

// maxSentIDs is the number of requests whose ids a connection remembers.
const maxSentIDs = 32

// recordSent remembers the id of a request that is sent.
func (c *conn) recordSent(id string) {
	if len(c.sentIDs) == maxSentIDs {
		c.sentIDs = c.sentIDs[1:]
	}
	c.sentIDs = append(c.sentIDs, id)
}

// hasSent reports whether a request with this id was among the last ones sent, or the id
// is empty and tells nothing.
func (c *conn) hasSent(id string) bool { return id == "" || slices.Contains(c.sentIDs, id) }

// readHead reads the head of a response to a request with the given method. A head of
// more than maxHeadBytes is an error: net/http limits neither the lines nor their
// number.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headStartedAt = time.Time{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	c.input.limit(maxHeadBytes, buffered)
	defer c.input.unlimit()
	if err := c.checkStatusLine(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		if c.input.exceeded {
			return nil, errHeadTooLarge // net/http may report the truncated line instead
		}
		return nil, err
	}
	c.headStartedAt = time.Time{}
	if err := httpstrict.CheckHead(response); err != nil {
		return nil, err
	}
	if err := httpstrict.CheckFieldLines(c.input.received); err != nil {
		return nil, err
	}
	return response, nil
}

// headOverdue reports whether the head that is being read began so long ago that it
// should have ended.
func (c *conn) headOverdue() bool {
	return !c.headStartedAt.IsZero() && time.Since(c.headStartedAt) > maxHeadTime
}

// statusLinePrefix is the beginning of every status line.
const statusLinePrefix = "HTTP/"

// checkStatusLine returns an error as soon as a byte has arrived that cannot belong to a
// status line. net/http waits for the end of the line.
func (c *conn) checkStatusLine() error {
	for n := 1; n <= len(statusLinePrefix); n++ {
		start, err := c.reader.Peek(n)
		if err != nil {
			return err
		}
		if n == 1 {
			c.headStartedAt = time.Now()
		}
		if string(start) != statusLinePrefix[:n] {
			return fmt.Errorf("%q is not a status line", start)
		}
	}
	return nil
}

// limitedInput reads from a connection. While a limit is set, it fails with errHeadTooLarge
// beyond it, and keeps what it has read.
type limitedInput struct {
	in        io.Reader
	meter     *bandwidth.Meter // counts what is read; may be nil
	limited   bool
	remaining int    // bytes until the limit
	exceeded  bool   // a read beyond the limit was attempted
	received  []byte // what was read since the limit was set, and was buffered then
}

// limit sets a limit of n bytes, which includes those that were read before and are buffered.
func (l *limitedInput) limit(n int, buffered []byte) {
	l.limited, l.remaining, l.exceeded = true, n-len(buffered), false
	l.received = append(l.received[:0], buffered...)
}

func (l *limitedInput) unlimit() {
	l.limited = false
	if cap(l.received) > readBufferSize {
		l.received = nil
	}
}

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (int, error) {
	if !l.limited {
		n, err := l.in.Read(p)
		l.meter.AddReceived(n)
		return n, err
	}
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := l.in.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.received = append(l.received, p[:n]...)
	l.meter.AddReceived(n)
	return n, err
}

// applyKeepAlive sets the idle limit from the timeout in a Keep-Alive header.
func (c *conn) applyKeepAlive(header string) {
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

// usable reports whether an idle connection may carry another request: its idle
// limit has not passed, the target has not closed it and has sent no unrequested
// bytes.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleLimit && c.reader.Buffered() == 0 && c.hasNoPendingData()
}

// hasNoPendingData checks without blocking that the socket has neither unread
// bytes nor an end of file or error pending.
func (c *conn) hasNoPendingData() bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
