package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peppertrail/peppertrail/pkg/callermem"
)

const (
	// firstBufferBytes is the first size of the buffer for a body without a declared length.
	firstBufferBytes = 4 << 10
	// discardTimeout bounds the time for which the rest of the body of a refused request is
	// read. Closing a connection with unread bytes resets it, and the caller may then lose
	// the answer. A body of 1 MiB takes 8 s at 1 Mbit/s.
	discardTimeout = 10 * time.Second
	// discardPause is the longest time without a byte of that body. It covers lost packets.
	discardPause = time.Second
	// retryAfterCallerMemory is the time after which stalled bodies have lost their memory.
	retryAfterCallerMemory = callermem.DefaultBodyWindow
)

// noCallerMemoryLimit is used if Options sets no account.
func noCallerMemoryLimit() *callermem.Account {
	return callermem.New(callermem.Limits{MinBodyRate: callermem.DefaultMinBodyRate, BodyWindow: callermem.DefaultBodyWindow}, func(callermem.Cause) {})
}

// readBody buffers the whole body, so that the request can be retried. The memory of the body
// and of responses is counted until releaseBodies is called.
func (c *call) readBody() *Refusal {
	var err error
	if c.responseMemory, err = c.h.CallerMemory.Admit(c.callerAddress(), c.customerName(), time.Now()); err != nil {
		return c.refuseBody(CallerMemory, withJitter(retryAfterCallerMemory))
	}
	if !c.hasBody() {
		return nil
	}
	limit := c.maxBodyBytes()
	if c.r.ContentLength > limit {
		return c.refuseBody(BodyTooLarge, 0)
	}
	c.bodyMemory = c.h.CallerMemory.NewBody(c.callerAddress(), c.customerName(), time.Now(), c.expireBody)
	length := c.r.ContentLength
	body, err := bufferRequestBody(http.MaxBytesReader(c.w, c.r.Body, limit), length, limit, c.bodyMemory)
	expired := c.bodyMemory.Complete()
	var tooLarge *http.MaxBytesError
	var noMemory *callermem.Error
	switch {
	case errors.As(err, &tooLarge):
		return c.refuseBody(BodyTooLarge, 0)
	case errors.As(err, &noMemory):
		return c.refuseBody(CallerMemory, withJitter(retryAfterCallerMemory))
	case err != nil && expired:
		return c.refuseBody(BodySlow, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		return refuseNotRun(BodyTimeout, 0)
	case err != nil:
		return refuseNotRun(BodyUnread, 0)
	}
	c.body = body
	c.endBodyDeadline()
	return nil
}

// refuseBody refuses a request whose body was not read to its end, and releases the memory of
// what was read.
func (c *call) refuseBody(r Reason, retryAfter time.Duration) *Refusal {
	if c.bodyMemory != nil {
		c.bodyMemory.Release()
	}
	c.w.Header().Set("Connection", "close")
	c.unreadBody = true
	return refuseNotRun(r, retryAfter)
}

// expireBody makes the reader of the body give up, unless bytes wait to be read.
func (c *call) expireBody() bool {
	if c.h.BytesWait != nil && c.h.BytesWait(c.r.Context()) {
		return false
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0)) // not supported only by writers without a connection
	return true
}

// callerAddress returns the IP address of the caller, "" for the request of another host,
// which nexthop.Admission limits.
func (c *call) callerAddress() string {
	if c.fromHost {
		return ""
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return ""
	}
	return host
}

// discardBody sends the refusal that was written and reads the rest of the body, so that the
// caller can read the answer.
func (c *call) discardBody() {
	control := http.NewResponseController(c.w)
	if control.Flush() != nil || c.r.Header.Get("Expect") != "" {
		return // the caller has disconnected, or waits for the answer before it sends the body
	}
	end := time.Now().Add(discardTimeout)
	for left := c.maxBodyBytes(); left > 0; {
		deadline := time.Now().Add(discardPause)
		if deadline.After(end) {
			deadline = end
		}
		_ = control.SetReadDeadline(deadline) // as in expireBody
		n, err := io.CopyN(io.Discard, c.r.Body, min(left, discardPieceBytes))
		if left -= n; err != nil {
			return // the rest does not come, or has come
		}
	}
}

// discardPieceBytes is read until discardPause. It is one read of the server.
const discardPieceBytes = 4 << 10

// maxBodyBytes returns the largest legal size of a body.
func (c *call) maxBodyBytes() int64 {
	if c.config == nil || c.config.Limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return c.config.Limits.BodyBytes
}

// bufferRequestBody reads a body to its end. length is its declared length, negative if there
// is none; limit is the largest one. It returns a *callermem.Error if the memory may not be
// used.
func bufferRequestBody(r io.Reader, length, limit int64, memory *callermem.Body) ([]byte, error) {
	size := min(limit, firstBufferBytes)
	if length > 0 {
		limit = length
		size = min(length, callermem.OrdinaryBytes)
	}
	if err := memory.Resize(size, time.Now()); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if int64(len(body)) == limit {
			return body, readEnd(r)
		}
		if len(body) == cap(body) {
			grown, err := growBody(body, limit, memory)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		memory.Received(n)
		if errors.Is(err, io.EOF) && length > int64(len(body)) {
			return nil, io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEnd returns nil if r ends.
func readEnd(r io.Reader) error {
	var b [1]byte
	if n, err := r.Read(b[:]); n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return errors.Join(errors.New("request body does not end after its length"), err)
	}
	return nil
}

// growBody copies a body to a buffer of twice the size, at most limit. Both buffers are
// counted meanwhile.
func growBody(body []byte, limit int64, memory *callermem.Body) ([]byte, error) {
	size := min(2*int64(cap(body)), limit)
	if err := memory.Resize(int64(cap(body))+size, time.Now()); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, memory.Resize(size, time.Now())
}
