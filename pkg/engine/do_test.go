package engine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// serviceCall returns a call to a plain service.
func serviceCall(to target.Target, method, path, body string) Call {
	return Call{Target: to, Stream: "s.1", Method: method, Path: path, Body: []byte(body)}
}

// Guards against a call that loses its path, body or headers, and against
// forwarding hop-by-hop headers or idempotency keys, which permit net/http to
// retry.
func TestDoForwardsRequestAndResponse(t *testing.T) {
	got := make(chan *http.Request, 1)
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r
		w.Header().Set("X-Answer", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "echo "+string(body))
	})
	call := serviceCall(to, http.MethodPut, "/a%2Fb//c?x=1", "body")
	call.Header = http.Header{
		"X-Custom": {"2"}, "Connection": {"X-Hop, close"}, "X-Hop": {"3"}, "Idempotency-Key": {"k"},
		"x-idempotency-key": {"k"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"99"}, "Host": {"elsewhere"},
	}
	response, err := newClient(t, Options{}).Do(context.Background(), call)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusTeapot)
	assert.Equal(t, string(response.Body), "echo body")
	assert.Equal(t, response.Header.Get("X-Answer"), "1")
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
	r := <-got
	assert.Equal(t, r.Method, http.MethodPut)
	assert.Equal(t, r.RequestURI, "/a%2Fb//c?x=1")
	assert.Equal(t, r.Host, to.Addr)
	assert.Equal(t, r.Header.Get("X-Custom"), "2")
	assert.Equal(t, r.Header.Get("X-Stream-Id"), "s.1")
	for _, name := range []string{"X-Hop", "Idempotency-Key", "X-Idempotency-Key", "Connection"} {
		assert.Equal(t, r.Header.Get(name), "", name)
	}
	assert.Equal(t, call.Header.Get("X-Hop"), "3", "the call's own headers are unchanged")
}

// Guards against a path that selects another host and against sending a
// malformed path or method.
func TestDoRejectsInvalidPaths(t *testing.T) {
	to, requests := startTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	c := newClient(t, Options{})
	response, err := c.Do(context.Background(), serviceCall(to, http.MethodGet, "//127.0.0.1:1/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "//127.0.0.1:1/x")
	for _, path := range []string{"", "x", "http://127.0.0.1:1/", "/%zz", "/a b\n"} {
		_, err := c.Do(context.Background(), serviceCall(to, http.MethodGet, path, ""))
		checkError(t, err, verdict.NotRun, false)
	}
	_, err = c.Do(context.Background(), serviceCall(to, "BAD METHOD", "/", ""))
	checkError(t, err, verdict.NotRun, false)
	assert.Equal(t, requests.Load(), int32(1))
}

// Guards against a retry by net/http when a reused connection is closed after
// the target read the request. Without a body, net/http retries GET and any
// method with an idempotency key.
func TestDoIsNotRepeatedOnReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodDelete} {
		to, clientAddrs := startTargetRespondingOnce(t, func(http.ResponseWriter) {})
		c := newClient(t, Options{})
		call := serviceCall(to, method, "/", "")
		call.Header = http.Header{"Idempotency-Key": {"k"}}
		_, err := c.Do(context.Background(), call)
		assert.NilError(t, err)
		_, err = c.Do(context.Background(), call)
		checkError(t, err, verdict.MayHaveRun, true)
		checkSentOnceOnReusedConn(t, clientAddrs)
	}
}

// Guards against reporting an error status of the service itself as "not run"
// although the call ran, and against a refusal that is not reported as "not run"
// and so cannot be retried.
func TestDoErrorStatus(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		for body, refused := range map[string]bool{
			`{"error":"order exists"}`:                   false,
			`{"error":"draining","code":"not_accepted"}`: status != http.StatusInternalServerError,
		} {
			to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			})
			response, err := newClient(t, Options{}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", ""))
			if refused {
				e := checkError(t, err, verdict.NotRun, false)
				assert.Equal(t, e.Status, status)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, response.Status, status)
			assert.Equal(t, string(response.Body), body)
		}
	}
}

// Guards against bodies that exhaust memory and against bodies truncated at the
// limit.
func TestDoBodyLimit(t *testing.T) {
	to, requests := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", int(r.ContentLength)*2))
	})
	c := newClient(t, Options{MaxBody: 10})
	response, err := c.Do(context.Background(), serviceCall(to, http.MethodPost, "/", "12345"))
	assert.NilError(t, err)
	assert.Equal(t, len(response.Body), 10)
	_, err = c.Do(context.Background(), serviceCall(to, http.MethodPost, "/", "123456"))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, errBodyTooLarge)
	_, err = c.Do(context.Background(), serviceCall(to, http.MethodPost, "/", "12345678901"))
	checkError(t, err, verdict.NotRun, false)
	assert.Equal(t, requests.Load(), int32(2))
}

// Guards against accepting a truncated response as complete.
func TestDoTruncatedResponse(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, err := newClient(t, Options{}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", ""))
	checkError(t, err, verdict.MayHaveRun, true)
}

// Guards against waiting without limit before or in the middle of a response.
func TestDoIdleTimeout(t *testing.T) {
	for _, begin := range []string{"", "part"} {
		to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if begin != "" {
				_, _ = io.WriteString(w, begin)
				_ = http.NewResponseController(w).Flush()
			}
			blockUntilDisconnect(r)
		})
		_, err := newClient(t, Options{IdleTimeout: testIdleTimeout}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", ""))
		checkError(t, err, verdict.MayHaveRun, true)
		assert.ErrorIs(t, err, errIdleTimeout)
	}
}

// Guards against accepting a response that belongs to another call.
func TestDoRejectsResponseOfOtherStream(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Stream-Id", "s.2") })
	_, err := newClient(t, Options{}).Do(context.Background(), serviceCall(to, http.MethodPost, "/", ""))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, errStreamMismatch)
}

// Guards against reporting "may have run" for a call that was never sent.
func TestDoConnectionRefusedIsNotRun(t *testing.T) {
	_, err := newClient(t, Options{}).Do(context.Background(), serviceCall(closedTarget(t), http.MethodPost, "/", "a"))
	checkError(t, err, verdict.NotRun, true)
}
