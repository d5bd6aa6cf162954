package forward

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// maxBufferedBodyBytes bounds the body of a response that is buffered before it is
	// forwarded.
	maxBufferedBodyBytes = 16 << 20
	// ownBodyBytes is how much of the buffered bodies of a request does not count
	// against Options.BufferedBytes, so that small responses do not depend on others.
	ownBodyBytes = 256 << 10
	// ownEventBytes is the same for the event of a stream that is not complete yet.
	ownEventBytes = 64 << 10
	// defaultBufferedBytes bounds the buffered bodies of all requests if Options sets no
	// limit.
	defaultBufferedBytes = 64 << 20
)

var (
	errBodyTooLarge = fmt.Errorf("%w: body exceeds %d bytes", upstream.ErrInvalidResponse, maxBufferedBodyBytes)
	errBodyMemory   = errors.New("memory for buffered response bodies is used up")
)

// bodyMemory counts the bytes of buffered bodies of all requests beyond ownBodyBytes of
// each, and those of incomplete events beyond ownEventBytes of each stream.
type bodyMemory struct {
	used atomic.Int64
	max  int64
}

// take reports whether n more bytes may be used, and counts them if so.
func (m *bodyMemory) take(n int64) bool {
	if m.used.Add(n) <= m.max {
		return true
	}
	m.used.Add(-n)
	return false
}

// eventMemory counts the memory of the incomplete event of one stream.
type eventMemory struct {
	shared   *bodyMemory
	counted  int64
	response *callermem.Response // counts all of it, once the event is larger than smallEventBytes
	size     int64               // what response counts
}

// smallEventBytes is the size of an event that counts as a part of the request. Ordinary events
// are smaller, and are not worth the mutex of the account.
const smallEventBytes = 4 << 10

// resize counts the size of the event in place of the one before. It reports whether that many
// bytes may be used.
func (m *eventMemory) resize(size int) bool {
	if !m.resizeResponse(int64(size)) {
		return false
	}
	excess := max(0, int64(size)-ownEventBytes)
	if more := excess - m.counted; more > 0 && !m.shared.take(more) {
		return false
	} else if more < 0 {
		m.shared.used.Add(more)
	}
	m.counted = excess
	return true
}

// resizeResponse counts the size of the event as a part of the response.
func (m *eventMemory) resizeResponse(size int64) bool {
	if size <= smallEventBytes {
		size = 0
	}
	if size != m.size && !m.response.Grow(size-m.size) {
		return false
	}
	m.size = size
	return true
}

// release ends the counting.
func (m *eventMemory) release() { m.resize(0) }

// bufferedReader reads the body of a response that is buffered, and counts its bytes.
type bufferedReader struct {
	call     *call
	response *upstream.Response
}

// Read implements io.Reader.
func (r bufferedReader) Read(p []byte) (int, error) {
	n, err := r.response.Read(p)
	c := r.call
	if n > 0 && !c.responseMemory.Grow(int64(n)) {
		return n, errBodyMemory
	}
	c.bufferedBytes += int64(n)
	if excess := c.bufferedBytes - ownBodyBytes - c.countedBytes; excess > 0 {
		if !c.h.bodies.take(excess) {
			return n, errBodyMemory
		}
		c.countedBytes += excess
	}
	return n, err
}

// bufferBody reads the whole body of a response. Its memory is counted until
// releaseBodies is called.
func (c *call) bufferBody(response *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(bufferedReader{call: c, response: response}, maxBufferedBodyBytes+1))
	if err == nil && len(body) > maxBufferedBodyBytes {
		err = errBodyTooLarge
	}
	return body, err
}

// releaseBodies ends the counting of the body of the request and of the buffered bodies of
// responses.
func (c *call) releaseBodies() {
	c.h.bodies.used.Add(-c.countedBytes)
	if c.responseMemory != nil {
		c.responseMemory.Release()
	}
	if c.bodyMemory != nil {
		c.bodyMemory.Release()
	}
}
