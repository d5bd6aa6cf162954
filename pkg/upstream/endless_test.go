package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// sentAtMost is how many bytes an endless target sends before it stops and leaves
	// its connection open, so that a client without a limit does not use up the memory.
	sentAtMost = 48 << 20
	// takenAtMost is the number of bytes that a client with a limit takes off an endless
	// target, including those in socket buffers.
	takenAtMost = 32 << 20
	// endlessTimeout is the time limit of a request to an endless target.
	endlessTimeout = 3 * time.Second
)

// sendEndless sends start and then unit again and again, until the peer closes or
// sentAtMost is reached. It then waits until the peer closes, and returns the bytes
// sent.
func sendEndless(c net.Conn, r io.Reader, start, unit string) int {
	sent, _ := io.WriteString(c, start)
	block := strings.Repeat(unit, 1+(16<<10)/len(unit))
	for sent < sentAtMost {
		n, err := io.WriteString(c, block)
		sent += n
		if err != nil {
			return sent
		}
	}
	_, _ = io.Copy(io.Discard, r)
	return sent
}

// endlessHeads are responses whose head does not end, with an error that names the
// reason.
var endlessHeads = map[string]struct{ start, unit, reason string }{
	"no line end":          {"", "garbage ", "not a status line"},
	"only line ends":       {"", "\r\n", "not a status line"},
	"status line":          {"HTTP/1.1 200 ", "OK ", "header exceeds"},
	"header name":          {"HTTP/1.1 200 OK\r\n", "X-Long", "header exceeds"},
	"header line":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "value ", "header exceeds"},
	"continued line":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: value", "\r\n more", "header exceeds"},
	"header lines":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-More: value\r\n", "header exceeds"},
	"interim responses":    {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "only interim"},
	"interim header":       {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", "header exceeds"},
	"protocol switches":    {"", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "only interim"},
	"earlier responses":    {"", responseText("0", "late"), "only interim"},
	"earlier response":     {"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", "late", "too long"},
	"earlier chunks":       {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nlate\r\n", "too long"},
	"responses without id": {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "without the request id"},
}

// Guards against a client that reads a response head without end, which takes memory
// until the time limit of the request.
func TestEndlessHeadIsInvalid(t *testing.T) {
	for name, bytes := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					sent <- sendEndless(c, r, bytes.start, bytes.unit)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err := New().Send(ctx, addr, newRequest("1"), 0)
			assert.Assert(t, errors.Is(err, ErrInvalidResponse), "%.200v", err)
			assert.ErrorContains(t, err, bytes.reason)
			assert.Assert(t, MayHaveRun(err))
			taken := <-sent
			assert.Assert(t, taken < takenAtMost, "the client took %d bytes", taken)
		})
	}
}

// Guards against a head limit that is counted per connection instead of per response.
func TestHeadLimitAppliesToEachResponse(t *testing.T) {
	long := strings.Repeat("x", maxHeadBytes*3/4)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, _, err := readRequest(r)
			if err != nil {
				return
			}
			interim := "HTTP/1.1 103 Early Hints\r\nLink: " + long + "\r\n\r\n"
			io.WriteString(c, interim+"HTTP/1.1 200 OK\r\nX-Long: "+long+"\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := New()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, c, addr, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against a dripping head or body that is read after the context has ended.
func TestDrippingResponseEndsWithTheContext(t *testing.T) {
	for name, text := range map[string]string{
		"head": "HTTP/1.1 200 ", "line": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "body": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				for _, err := io.WriteString(c, text); err == nil; _, err = io.WriteString(c, "x") {
					time.Sleep(5 * time.Millisecond)
				}
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			start := time.Now()
			response, err := New().Send(ctx, addr, newRequest("1"), 0)
			if err == nil {
				_, err = response.ReadWhole(1 << 20)
				response.Close()
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < 450*time.Millisecond, "ended after %v", time.Since(start))
			<-closed
		})
	}
}

// endlessBodies are bodies that do not end, with an error that names the reason.
var endlessBodies = map[string]struct{ header, unit, reason string }{
	"close":           {"", "garbage", "body exceeds"},
	"chunks":          {"Transfer-Encoding: chunked\r\n", "7\r\ngarbage\r\n", "body exceeds"},
	"chunk":           {"Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "garbage", "body exceeds"},
	"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n7;", "ext=garbage;", "line too long"},
	"extensions":      {"Transfer-Encoding: chunked\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", "too much non-data"},
	"chunk size":      {"Transfer-Encoding: chunked\r\n\r\n", "0", "line too long"},
	"trailers":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: value\r\n", "suspiciously long trailer"},
	"trailer line":    {"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "value ", "suspiciously long trailer"},
	"huge length":     {"Content-Length: 9000000000000000000\r\n", "garbage", "body exceeds"},
}

// Guards against a body without end that is read without limit or taken for complete.
func TestEndlessBodyIsAnError(t *testing.T) {
	for name, bytes := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					start := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + bytes.header
					if !strings.Contains(bytes.header, "\r\n\r\n") {
						start += "\r\n"
					}
					sent <- sendEndless(c, r, start, bytes.unit)
				}
			})
			_, err := send(t, New(), addr, "1")
			assert.ErrorContains(t, err, bytes.reason)
			taken := <-sent
			assert.Assert(t, taken < takenAtMost, "the client took %d bytes", taken)
		})
	}
}

// Guards against a request on a kept connection on which the target keeps sending
// bytes, and against such a connection that stays open.
func TestEndlessBytesOnIdleConnectionCloseIt(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "dripping": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			connections := make(chan struct{}, 4)
			closed := make(chan struct{}, 4)
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				connections <- struct{}{}
				request, _, err := readRequest(r)
				if err != nil {
					return
				}
				io.WriteString(c, responseText(request.Header.Get("X-Id"), "ok"))
				for err == nil {
					time.Sleep(10*time.Millisecond + pause)
					_, err = io.WriteString(c, "garbage")
				}
				closed <- struct{}{}
			})
			c := New()
			go c.Run(t.Context())
			for _, id := range []string{"1", "2"} {
				body, err := send(t, c, addr, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, len(connections), 2)
			<-closed
			select {
			case <-closed: // by the periodic check
			case <-time.After(2 * pruneInterval):
				t.Fatal("the idle connection is still open")
			}
		})
	}
}

// Guards against a connection that is reused while the rest of a discarded body arrives,
// or that keeps the time limit of the discarded body.
func TestDiscardedBodyThatEndsKeepsTheConnection(t *testing.T) {
	connections := make(chan struct{}, 4)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			request, _, err := readRequest(r)
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			io.WriteString(c, responseText(request.Header.Get("X-Id"), "ok"))
		}
	})
	c := New()
	for _, id := range []string{"1", "2", "3"} {
		response, err := c.Send(t.Context(), addr, newRequest(id), 0)
		assert.NilError(t, err)
		response.Discard(10, 50*time.Millisecond)
		response.Close()
	}
	assert.Equal(t, len(connections), 1)
	response, err := c.Send(t.Context(), addr, newRequest("4"), 0)
	assert.NilError(t, err)
	response.Discard(0, 50*time.Millisecond)
	response.Close()
	_, err = send(t, c, addr, "5")
	assert.NilError(t, err)
	assert.Equal(t, len(connections), 2)
}

// Guards against an error, which is logged, that quotes a long line of a target.
func TestErrorDoesNotQuoteLongLine(t *testing.T) {
	for _, text := range []string{"%s", "HTTP/1.1 %s", "HTTP/1.1 200 OK\r\n%s", "HTTP/1.1 200 OK\r\nX%s: 1", "HTTP/1.1 200 OK\r\nContent-Length: %s", "HTTP/1.1 200 OK\r\nTransfer-Encoding: %s"} {
		addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				fmt.Fprintf(c, text+"\r\n\r\n", strings.Repeat("\x01", maxHeadBytes/2))
			}
		})
		_, err := send(t, New(), addr, "1")
		assert.Assert(t, err != nil)
		assert.Assert(t, len(err.Error()) < 1000, "%q: error of %d bytes", text, len(err.Error()))
	}
}
