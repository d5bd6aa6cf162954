package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
)

// startRawTarget starts a target whose connections are handled by serve, which returns to
// close them.
func startRawTarget(t *testing.T, id string, serve func(conn net.Conn, r *bufio.Reader)) balance.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return balance.Target{ID: id, Service: testService, Addr: l.Addr().String(), Slots: 8}
}

// readID reads a request and returns its id; false if the connection has ended.
func readID(r *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get(dialect.Default().RequestID), err == nil
}

// head returns the head of a response up to the blank line that ends it.
func head(status int, id string, fields ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), dialect.Default().RequestID + ": " + id}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Guards against telling a caller that its request has not run because the target has sent the refusal of an earlier request once more on the connection.
func TestSecondRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	for _, when := range []string{"while idle", "before the answer", "in place of the answer", "twice"} {
		t.Run(when, func(t *testing.T) {
			r := newFixture(t, 0)
			var runs atomic.Int64
			r.handler.Targets.Apply([]balance.Target{startRawTarget(t, "raw", func(conn net.Conn, in *bufio.Reader) {
				refusal := ""
				for {
					id, ok := readID(in)
					if !ok {
						return
					}
					if strings.HasPrefix(id, "refused") {
						refusal = head(http.StatusServiceUnavailable, id, dialect.Default().NotRun+": 1", "Content-Length: 4") + "full"
						fmt.Fprint(conn, refusal)
						if when == "while idle" {
							time.Sleep(20 * time.Millisecond)
							fmt.Fprint(conn, refusal)
						}
						continue
					}
					runs.Add(1)
					switch when {
					case "in place of the answer":
						fmt.Fprint(conn, refusal)
						return
					case "twice":
						fmt.Fprint(conn, refusal)
						fallthrough
					case "before the answer":
						fmt.Fprint(conn, refusal)
					}
					fmt.Fprint(conn, head(http.StatusOK, id, "Content-Length: 2")+id[:2])
				}
			})})
			for i := range 5 {
				refused := r.post(fmt.Sprint("refused", i), "/unsafe/x")
				assert.Equal(t, refused.status, http.StatusServiceUnavailable)
				time.Sleep(rejectionBackoffWait)
				before := runs.Load()
				got := r.post(fmt.Sprint("ok", i), "/unsafe/x")
				ran := runs.Load() - before
				assert.Assert(t, ran <= 1, "%d runs", ran)
				if when == "in place of the answer" {
					assert.Assert(t, got.status == http.StatusBadGateway || got.status == http.StatusOK && got.body == "ok", "%d %s", got.status, got.body)
					time.Sleep(time.Second) // the target is taken back
					continue
				}
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, "ok")
			}
		})
	}
}

// Guards against the error of a target, or its head, in the middle of a stream that another target has begun, and against a stream that then ends as if it was complete.
func TestErrorOfTargetIsNotInStream(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	stream := func(id string) string { return head(http.StatusOK, id, "Content-Type: text/event-stream") }
	errorText := "id: 3\ndata: error\n\n"
	errorFields := []string{"Content-Type: text/event-stream", fmt.Sprint("Content-Length: ", len(errorText))}
	for name, next := range map[string]func(id string) string{
		"500 as a stream": func(id string) string { return head(500, id, errorFields...) + errorText },
		"404 as a stream": func(id string) string { return head(404, id, errorFields...) + errorText },
		"503 not run": func(id string) string {
			return head(503, id, "Content-Length: 5", dialect.Default().NotRun+": 1") + "error"
		},
		"503":                     func(id string) string { return head(503, id, "Content-Length: 5") + "error" },
		"200 without a stream":    func(id string) string { return head(200, id, "Content-Length: 5") + "error" },
		"head within a stream":    func(id string) string { return stream(id) + head(500, id, errorFields...) + errorText },
		"head within a chunk":     func(id string) string { return stream(id) + "id: 3\ndata: c\n\n" + head(500, id) + errorText },
		"garbage":                 func(string) string { return "error\r\n\r\n" },
		"head that is cut":        func(id string) string { return strings.TrimSuffix(head(200, id, "Content-Length: 0"), "\r\n") },
		"nothing":                 func(string) string { return "" },
		"500 after an empty line": func(id string) string { return stream(id) + "\n\r\n" + head(500, id) + errorText },
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 0)
			var requests atomic.Int64
			serve := func(conn net.Conn, in *bufio.Reader) {
				id, ok := readID(in)
				if !ok {
					return
				}
				if requests.Add(1) == 1 {
					fmt.Fprint(conn, stream(id)+events+"id: 3\nda")
					return
				}
				fmt.Fprint(conn, next(id))
			}
			r.handler.Targets.Apply([]balance.Target{startRawTarget(t, "raw1", serve), startRawTarget(t, "raw2", serve)})
			got := r.post("r1", "/resumable/x")
			assert.Equal(t, requests.Load(), int64(2))
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, got.err != nil, "the stream looks complete: %q", got.body)
			assert.Assert(t, strings.HasPrefix(got.body, events), "%q", got.body)
			rest := strings.TrimPrefix(got.body, events)
			assert.Assert(t, !strings.Contains(rest, "error") && !strings.Contains(rest, "HTTP/"), "%q", rest)
		})
	}
}

// Guards against a success that is made from an answer whose head was cut short.
func TestHeadThatIsCutIsNotASuccess(t *testing.T) {
	for _, fields := range [][]string{
		{"Content-Length: 12"},
		{"Transfer-Encoding: chunked"},
		{"Content-Type: text/event-stream"},
		{"Content-Type: text/event-stream", "Transfer-Encoding: chunked"},
		{"Content-Length: 0"},
		{"Connection: close"},
	} {
		whole := head(http.StatusOK, "r", fields...)
		for cut := range len(whole) {
			r := newFixture(t, 0)
			r.handler.Targets.Apply([]balance.Target{startRawTarget(t, "raw", func(conn net.Conn, in *bufio.Reader) {
				if _, ok := readID(in); ok {
					fmt.Fprint(conn, whole[:cut])
				}
			})})
			path := "/unsafe/x"
			if strings.Contains(whole, "event-stream") {
				path = "/stream/x"
			}
			got := r.post("r", path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway, "head cut to %q: %q", whole[:cut], got.body)
			r.server.Close()
		}
	}
}
