package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// testIdle is the idle timeout of tests that wait for it.
	testIdle = 50 * time.Millisecond
	// longIdle is the idle timeout of tests in which it must not elapse; a busy
	// machine may delay a read by tens of milliseconds.
	longIdle = 300 * time.Millisecond
)

// newClient returns a client that is closed at the end of the test.
func newClient(t testing.TB, o Options) *HTTPClient {
	c := NewHTTPClient(o)
	t.Cleanup(c.Close)
	return c
}

// serve runs a target for the duration of a test and counts its requests.
func serve(t testing.TB, h http.HandlerFunc) (target.Target, *atomic.Int32) {
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		h(w, r)
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return target.Target{ID: "t", Addr: srv.Listener.Addr().String()}, &requests
}

// serveOnce runs a target that answers its first request and closes the
// connection of every later one after reading it. The channel receives the
// client address of each request.
func serveOnce(t testing.TB, answer func(http.ResponseWriter)) (target.Target, chan string) {
	peers := make(chan string, 10)
	var count atomic.Int32
	to, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		peers <- r.RemoteAddr
		if count.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		answer(w)
	})
	return to, peers
}

// checkReused checks that a target of serveOnce received two requests on the
// same connection, one answered and one lost, and none afterwards.
func checkReused(t testing.TB, peers chan string) {
	t.Helper()
	assert.Equal(t, <-peers, <-peers, "the connection was not reused")
	assert.Equal(t, len(peers), 0, "the request was sent again")
}

// closedTarget returns a target that refuses connections.
func closedTarget(t testing.TB) target.Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	return target.Target{ID: "closed", Addr: ln.Addr().String()}
}

// hang blocks a handler until the client goes away.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
	<-r.Context().Done()
}

// callTo returns a call on stream s.1.
func callTo(t target.Target) Call {
	return Call{Target: t, Stream: "s.1", Priority: 4, Fencing: 7, Body: []byte(`{"messages":[]}`)}
}

// events joins chunks of stream s.1 with one token each into an event stream.
func events(tokens ...string) string {
	var b strings.Builder
	for i, token := range tokens {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"s.1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, token)
	}
	return b.String()
}

// ending returns the usage chunk and the done marker after n tokens.
func ending(n int) string {
	usage := fmt.Sprintf(`{"id":"s.1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}}`, n, n+3)
	return fmt.Sprintf("id: %d\ndata: %s\n\nid: %d\ndata: [DONE]\n\n", n, usage, n+1)
}

// reply sends an event stream.
func reply(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// readAll reads a stream until it ends or fails.
func readAll(s Stream) (found []Event, err error) {
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return found, nil
		}
		if err != nil {
			return found, err
		}
		found = append(found, e)
	}
}

// open opens a stream that the target accepts.
func open(t testing.TB, c *HTTPClient, to target.Target) Stream {
	s, err := c.Open(context.Background(), callTo(to))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// checkError checks the verdict and the death of a failure.
func checkError(t testing.TB, err error, want verdict.Verdict, died bool) *Error {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Verdict, want, "%v", err)
	assert.Equal(t, e.Died, died, "%v", err)
	return e
}
