package proxy

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts an echo server and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return l.Addr().String()
}

// Guards against a partition that passes data, and against one that still blocks
// connections after its end.
func TestBlockedConnectionPassesNoDataAndCloses(t *testing.T) {
	var blocked atomic.Bool
	p, err := New(echo(t), func(net.Addr) int { return 0 }, func(int) bool { return blocked.Load() })
	assert.NilError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	buf := make([]byte, 1)
	conn.Write([]byte("a"))
	_, err = io.ReadFull(conn, buf)
	assert.NilError(t, err)

	blocked.Store(true)
	p.ApplyBlocks()
	conn.Write([]byte("b"))
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = conn.Read(buf)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	blocked.Store(false)
	p.ApplyBlocks()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(buf)
	assert.Assert(t, err != nil && !os.IsTimeout(err), "connection is not closed after the end of the block: %v", err)
	fresh, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	defer fresh.Close()
	fresh.Write([]byte("c"))
	_, err = io.ReadFull(fresh, buf)
	assert.NilError(t, err)
}

// Guards against a connection that is attributed to the wrong process, so that a
// partition does not block it.
func TestClientPID(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.Equal(t, ClientPID(conn.LocalAddr(), []int{os.Getpid()}), os.Getpid())
	assert.Equal(t, ClientPID(conn.LocalAddr(), []int{1}), 0)
}

// Guards against a proxy that turns a reset into an orderly close.
func TestResetIsPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		conn.Read(make([]byte, 1))
		conn.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		conn.Close()
	}()
	p, err := New(l.Addr().String(), func(net.Addr) int { return 0 }, func(int) bool { return false })
	assert.NilError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	conn.Write([]byte("a"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
