package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scripted is a server that runs one script for each connection.
func scripted(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a//b/../c?x=%20", Host: "h.example", Body: []byte("body of " + id), ID: id, EchoName: "X-Id",
		Fields: []Field{{Name: "X-Id", Value: id}}}
}

func send(t *testing.T, c *Client, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := c.Send(ctx, addr, request(id), 0)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadWhole(1 << 20)
	return string(body), err
}

// Guards against a request that is changed on its way.
func TestRequestArrivesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		request, body, err := readRequest(r)
		if err != nil {
			return
		}
		seen <- request
		bodies <- body
		io.WriteString(c, answer("1", "ok"))
	})
	body, err := send(t, New(), addr, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	got := <-seen
	assert.Equal(t, got.Method, "POST")
	assert.Equal(t, got.RequestURI, "/a//b/../c?x=%20")
	assert.Equal(t, got.Host, "h.example")
	assert.Equal(t, <-bodies, "body of 1")
}

// Guards against an answer to an earlier request that is taken for the one to the
// present request.
func TestLateAnswerIsSkipped(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		for n := 1; ; n++ {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			if n == 2 {
				io.WriteString(c, answer("1", "once more"))
			}
			io.WriteString(c, answer(fmt.Sprint(n), fmt.Sprintf("answer %d", n)))
		}
	})
	c := New()
	for _, id := range []string{"1", "2"} {
		body, err := send(t, c, addr, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer "+id)
	}
}

// Guards against bytes after a whole answer that reach the next caller.
func TestExtraBytesEndTheConnection(t *testing.T) {
	connections := make(chan struct{}, 4)
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			request, _, err := readRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Id")
			io.WriteString(c, answer(id, "ok")+answer(id, "again"))
		}
	})
	c := New()
	for _, id := range []string{"1", "2"} {
		body, err := send(t, c, addr, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(connections), 2)
}

// Guards against a truncated answer that looks whole.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	_, err := send(t, New(), addr, "1")
	assert.ErrorContains(t, err, "broken off")
}

// Guards against an answer without a length that was reset and looks whole.
func TestResetOfAnAnswerWithoutLength(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	_, err := send(t, New(), addr, "1")
	assert.ErrorContains(t, err, "broken off")
}

// Guards against the refusal of an answer that ends with its connection.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
		}
	})
	body, err := send(t, New(), addr, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}

// Guards against a connection that is reused while the rest of a body is still
// due on it: the target would take the next request for that rest.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	connections := make(chan struct{}, 4)
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, answer(request.Header.Get("X-Id"), "early"))
		time.Sleep(500 * time.Millisecond)
	})
	c := New()
	for _, id := range []string{"1", "2"} {
		r := request(id)
		r.Body = []byte(strings.Repeat("x", 64<<20))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		response, err := c.Send(ctx, addr, r, 0)
		assert.NilError(t, err)
		_, err = response.ReadWhole(1 << 10)
		assert.NilError(t, err)
		response.Close()
		cancel()
	}
	assert.Equal(t, len(connections), 2)
}

// Guards against a verdict that a request has not run although it was sent.
func TestVerdictOfFailures(t *testing.T) {
	silent := scripted(t, func(c net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err := send(t, New(), silent, "1")
	assert.Assert(t, MayHaveRun(err), "%v", err)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	_, err = send(t, New(), l.Addr().String(), "1")
	assert.Assert(t, errors.Is(err, ErrDial), "%v", err)
	assert.Assert(t, !MayHaveRun(err))

	garbage := scripted(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "no answer at all\r\n\r\n")
	})
	_, err = send(t, New(), garbage, "1")
	assert.Assert(t, errors.Is(err, ErrBadMessage), "%v", err)
	assert.Assert(t, MayHaveRun(err))
}

// Guards against a request that goes on after its caller has left.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		r.ReadByte() // returns when the client closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := New().Send(ctx, addr, request("1"), 0)
	assert.Assert(t, MayHaveRun(err))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stayed open")
	}
}

// Guards against more connections than the target allows from this host.
func TestConnectionLimit(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		time.Sleep(200 * time.Millisecond)
	})
	c := New()
	go c.Send(t.Context(), addr, request("1"), 1)
	time.Sleep(50 * time.Millisecond)
	_, err := c.Send(t.Context(), addr, request("2"), 1)
	assert.Assert(t, errors.Is(err, ErrConnLimit), "%v", err)
	assert.Assert(t, !MayHaveRun(err))
}

// Guards against a request on a connection that the target is about to close.
func TestIdleTimeoutOfTheTarget(t *testing.T) {
	c := newConn(nil)
	c.noteKeepAlive("timeout=5, max=100")
	assert.Equal(t, c.idleLimit, 4*time.Second)
	c.noteKeepAlive("timeout=1")
	assert.Equal(t, c.idleLimit, 500*time.Millisecond)
}

// Guards against a closed idle connection that is used again.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr := scripted(t, func(c net.Conn, r *bufio.Reader) {
		if request, _, err := readRequest(r); err == nil {
			io.WriteString(c, answer(request.Header.Get("X-Id"), "ok"))
		}
	})
	c := New()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, c, addr, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(20 * time.Millisecond)
	}
}
