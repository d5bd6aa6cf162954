package httpstrict

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection on which Read returns io.EOF only if the peer has closed its side. The
// kernel reports a reset to one call only. If that is a Write, later reads of the socket end as if
// the peer had closed it, and a response that ends with its connection would look complete.
// One Read and one Write may be in progress at a time.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	writing  bool       // a write is in progress
	written  *sync.Cond // signalled when a write ends; its lock is mu
	writeErr error      // of the first write that found the connection lost; nil: none did
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.written = sync.NewCond(&conn.mu)
	return conn
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes all buffers with as few system calls as possible. It returns the number of
// bytes written.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.beginWrite()
	n, err := buffers.WriteTo(c.Conn)
	c.endWrite(err)
	return n, err
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	// After a reset, the kernel reports EPIPE if the peer had closed its side before, and
	// ECONNRESET otherwise. What the peer has sent is complete in the first case.
	if err != nil && !errors.Is(err, syscall.EPIPE) && c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Broadcast()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { // returned unwrapped, as io.Reader requires
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF if the peer has closed its side of the connection, and the error of
// the connection if it was lost.
func (c *Conn) endOfInput() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A write in progress fails soon on a connection that is lost. A peer that has closed its
	// side only may read on for long.
	for c.writing && !c.isHalfClosed() {
		c.written.Wait()
	}
	if c.writeErr != nil {
		return fmt.Errorf("connection lost during a write: %w", c.writeErr)
	}
	return io.EOF
}

// isHalfClosed reports whether the peer has closed its side of the connection, and this side is
// still open. It returns false if the state is unknown.
func (c *Conn) isHalfClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err == nil && infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}
