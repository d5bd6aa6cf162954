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
	// testIdleTimeout is the idle timeout of tests in which it must expire.
	testIdleTimeout = 50 * time.Millisecond
	// longIdleTimeout is the idle timeout of tests in which it must not expire. A
	// busy machine may delay a read by tens of milliseconds.
	longIdleTimeout = 300 * time.Millisecond
)

// newClient returns a client that is closed at the end of the test.
func newClient(t testing.TB, o Options) *HTTPClient {
	c := NewHTTPClient(o)
	t.Cleanup(c.Close)
	return c
}

// startTarget runs a target for the duration of a test. The counter holds the
// number of its requests.
func startTarget(t testing.TB, h http.HandlerFunc) (target.Target, *atomic.Int32) {
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

// startTargetRespondingOnce runs a target that responds to its first request and
// closes the connection of every later request after reading it. The channel
// receives the client address of each request.
func startTargetRespondingOnce(t testing.TB, respond func(http.ResponseWriter)) (target.Target, chan string) {
	clientAddrs := make(chan string, 10)
	var count atomic.Int32
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		clientAddrs <- r.RemoteAddr
		if count.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		respond(w)
	})
	return to, clientAddrs
}

// checkSentOnceOnReusedConn checks that a target of startTargetRespondingOnce
// received exactly two requests, both on the same connection.
func checkSentOnceOnReusedConn(t testing.TB, clientAddrs chan string) {
	t.Helper()
	assert.Equal(t, <-clientAddrs, <-clientAddrs, "the second request used another connection")
	assert.Equal(t, len(clientAddrs), 0, "the client sent the second request again")
}

// closedTarget returns a target that refuses connections.
func closedTarget(t testing.TB) target.Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	return target.Target{ID: "closed", Addr: ln.Addr().String()}
}

// blockUntilDisconnect blocks a handler until the client disconnects.
func blockUntilDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
	<-r.Context().Done()
}

// newCall returns a completion call with stream id s.1.
func newCall(t target.Target) Call {
	return Call{Target: t, Stream: "s.1", Priority: 4, Fencing: 7, Body: []byte(`{"messages":[]}`)}
}

// tokenEvents returns server-sent events of stream s.1 with one token each.
func tokenEvents(tokens ...string) string {
	var b strings.Builder
	for i, token := range tokens {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"s.1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, token)
	}
	return b.String()
}

// finalEvents returns the events with the usage and the done marker that follow
// n token events.
func finalEvents(n int) string {
	usage := fmt.Sprintf(`{"id":"s.1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}}`, n, n+3)
	return fmt.Sprintf("id: %d\ndata: %s\n\nid: %d\ndata: [DONE]\n\n", n, usage, n+1)
}

// writeEvents sends body as an event stream and flushes it.
func writeEvents(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// readAll reads a stream until it ends or fails. If it fails, readAll returns the
// events before the failure and the error.
func readAll(s Stream) (events []Event, err error) {
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// openStream opens a stream, which the target must accept.
func openStream(t testing.TB, c *HTTPClient, to target.Target) Stream {
	s, err := c.Open(context.Background(), newCall(to))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// checkError checks the Verdict and the TargetDown field of an *Error.
func checkError(t testing.TB, err error, want verdict.Verdict, targetDown bool) *Error {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Verdict, want, "%v", err)
	assert.Equal(t, e.TargetDown, targetDown, "%v", err)
	return e
}
