package httpstrict

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// repeats is how often the tests repeat an exchange in which the order of a reset, a write
	// and a read varies.
	repeats = 100
	// testTimeout ends a test whose connections hang.
	testTimeout = 10 * time.Second
)

// unread is more than the buffers of two sockets hold.
var unread = make([]byte, 16<<20)

// connect returns both sides of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	peer := accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = peer.Close()
	})
	assert.NilError(t, dialed.SetDeadline(time.Now().Add(testTimeout)))
	return NewConn(dialed), peer
}

// resetAfter closes a connection after d so that its peer receives a reset.
func resetAfter(c *net.TCPConn, d time.Duration) {
	time.AfterFunc(d, func() {
		_ = c.SetLinger(0) // fails only if the connection is closed already
		_ = c.Close()
	})
}

// delay returns a delay that differs between runs.
func delay(run int) time.Duration { return time.Duration(run%10) * 100 * time.Microsecond }

// startWrite writes more to a connection than its peer has room for. The channel receives the
// error.
func startWrite(c *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.WriteBuffers(&net.Buffers{make([]byte, 1000), unread})
		ended <- err
	}()
	time.Sleep(time.Millisecond) // until the buffers are full
	return ended
}

// Guards against a reset that only the writer is told: the reader would take what has arrived for
// all that the peer has sent.
func TestResetDuringWriteIsNotEndOfInput(t *testing.T) {
	for name, readAfterWrite := range map[string]bool{"read after the write has failed": true, "read while the write fails": false} {
		t.Run(name, func(t *testing.T) {
			toldWriter := 0
			for i := range repeats {
				c, peer := connect(t)
				written := startWrite(c)
				_, err := io.WriteString(peer, "part")
				assert.NilError(t, err)
				resetAfter(peer, delay(i))
				if readAfterWrite {
					err = <-written
					assert.ErrorIs(t, err, syscall.ECONNRESET)
				}
				data, err := io.ReadAll(c)
				assert.Equal(t, string(data), "part")
				assert.ErrorIs(t, err, syscall.ECONNRESET, "run %d", i)
				if !readAfterWrite && errors.Is(<-written, syscall.ECONNRESET) {
					toldWriter++
				}
			}
			t.Logf("the writer was told first in %d of %d runs", toldWriter, repeats)
		})
	}
}

// Guards against taking a peer that has closed its side and reads on, or reads nothing any more,
// for one that has reset the connection, and against an end that waits for the write.
func TestHalfClosedPeerEndsInput(t *testing.T) {
	for name, readsOn := range map[string]bool{"reads on": true, "reads nothing": false} {
		t.Run(name, func(t *testing.T) {
			for range repeats {
				c, peer := connect(t)
				written := startWrite(c)
				_, err := io.WriteString(peer, "whole")
				assert.NilError(t, err)
				assert.NilError(t, peer.CloseWrite())
				data, err := io.ReadAll(c)
				assert.NilError(t, err)
				assert.Equal(t, string(data), "whole")
				assert.Equal(t, len(written), 0, "the write has ended")
				if readsOn {
					go func() { _, _ = io.Copy(io.Discard, peer) }()
					assert.NilError(t, <-written)
				}
				_ = c.Close()
				_ = peer.Close()
			}
		})
	}
}

// Guards against a reset that follows the regular end of what the peer has sent, as the kernel
// sends it for a process that closes its connection before the whole request has arrived.
func TestResetAfterEndOfInputIsEndOfInput(t *testing.T) {
	for name, read := range map[string]func(c *Conn, written <-chan error) ([]byte, error){
		"read after the write has failed": func(c *Conn, written <-chan error) ([]byte, error) {
			<-written
			return io.ReadAll(c)
		},
		"read while the write fails": func(c *Conn, _ <-chan error) ([]byte, error) { return io.ReadAll(c) },
	} {
		t.Run(name, func(t *testing.T) {
			for i := range repeats {
				c, peer := connect(t)
				written := startWrite(c)
				_, err := io.WriteString(peer, "whole")
				assert.NilError(t, err)
				assert.NilError(t, peer.CloseWrite())
				resetAfter(peer, delay(i))
				data, err := read(c, written)
				assert.NilError(t, err, "run %d", i)
				assert.Equal(t, string(data), "whole")
				_ = c.Close()
			}
		})
	}
}

// Guards against a read that waits for ever, or ends as if all had arrived, when this side closes
// the connection.
func TestCloseDuringReadIsNotEndOfInput(t *testing.T) {
	for range repeats {
		c, peer := connect(t)
		written := startWrite(c)
		_, err := io.WriteString(peer, "part")
		assert.NilError(t, err)
		go func() {
			runtime.Gosched()
			_ = c.Close()
		}()
		_, err = io.ReadAll(c)
		assert.ErrorIs(t, err, net.ErrClosed)
		assert.Assert(t, <-written != nil)
	}
}

// Guards against bytes that are lost or swapped by the methods that write.
func TestWritesArriveInOrder(t *testing.T) {
	c, peer := connect(t)
	go func() {
		for i := range 100 {
			_, _ = c.WriteBuffers(&net.Buffers{fmt.Appendf(nil, "head %d ", i), fmt.Appendf(nil, "body %d ", i)})
			_, _ = fmt.Fprintf(c, "more %d\n", i)
		}
		_ = c.Close()
	}()
	for i := range 100 {
		var head, body, more int
		_, err := fmt.Fscanf(peer, "head %d body %d more %d\n", &head, &body, &more)
		assert.NilError(t, err)
		assert.Assert(t, head == i && body == i && more == i, "%d: %d %d %d", i, head, body, more)
	}
	_, err := peer.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
