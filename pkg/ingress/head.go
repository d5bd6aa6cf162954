package ingress

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/callermem"
)

const (
	// headByteCost is the memory for each byte of a head: the lines are copied once.
	headByteCost = 2
	// headLineCost is the memory for each line of a head. net/http takes about 100 bytes for a
	// small field (entry of a map, slice of values), more while the map grows.
	headLineCost = 160
	// uncountedHeadBytes is the memory of a head that counts as part of the connection. Heads of
	// ordinary requests have about 20 lines and 1.5 KB, which cost 6 KB.
	uncountedHeadBytes = 8 << 10
	// headStepBytes is the step in which the memory of a head is counted, so that a head that
	// comes byte by byte takes no more processor time.
	headStepBytes = 8 << 10
	// headRefusalTimeout bounds the time in which the answer to a head without memory is written,
	// and in which the rest of the head is read so that the answer reaches the caller.
	headRefusalTimeout = time.Second
)

// headRefusal is the answer to a head for which there is no memory. 2 s are the time after
// which stalled bodies have lost theirs.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nRetry-After: 2.000\r\nContent-Length: 14\r\n\r\ncaller_memory\n"

// head counts the memory of the head that is read from a connection.
type head struct {
	memory *callermem.Connection // nil: not counted
	ended  atomic.Bool           // the head is complete; what is read belongs to a body
	bytes  int64
	lines  int64
}

// count counts bytes that were read. It returns a *callermem.Error if there is no memory for
// the head.
func (h *head) count(p []byte) error {
	if h.memory == nil || h.ended.Load() {
		return nil
	}
	h.bytes += int64(len(p))
	h.lines += int64(bytes.Count(p, []byte{'\n'}))
	cost := headByteCost*h.bytes + headLineCost*h.lines
	if cost <= uncountedHeadBytes {
		return nil
	}
	return h.memory.ResizeHead((cost+headStepBytes-1)/headStepBytes*headStepBytes, time.Now())
}

// complete records that the head is complete. Its memory is held until reset.
func (h *head) complete() { h.ended.Store(true) }

// reset records that a request has ended and that the next bytes belong to another head.
func (h *head) reset() {
	if h.memory == nil {
		return
	}
	h.bytes, h.lines = 0, 0
	_ = h.memory.ResizeHead(0, time.Time{}) // less is never refused
	h.ended.Store(false)
}

// refuseHead answers a head for which there is no memory. No part of an answer is on its way
// then, as the server reads a head only after the answer before. It returns the error for
// the server, which closes the connection.
func (c *Conn) refuseHead(cause error) error {
	_ = c.SetDeadline(time.Now().Add(headRefusalTimeout)) // fails only if the connection is closed
	if _, err := io.WriteString(c.TCPConn, headRefusal); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardedHeadBytes) // ends with the head, the time or the connection
	}
	// The server answers other errors itself.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
}

// maxDiscardedHeadBytes bounds what is read of a refused head: the default limit of a head.
const maxDiscardedHeadBytes = 64 << 10
