package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// callerFixture is a fixture with a fake caller listener of a daemon. It records
// the header and body of the last request.
type callerFixture struct {
	*fixture
	lastHeader http.Header
	lastBody   chatRequest
}

func newCallerFixture(t *testing.T, reply http.HandlerFunc) *callerFixture {
	t.Helper()
	c := &callerFixture{fixture: newFixture(t)}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.lastHeader = r.Header
		raw, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(raw, &c.lastBody)
		reply(w, r)
	}))
	t.Cleanup(listener.Close)
	c.env["PEPPERTRAIL_DAEMON"] = listener.URL
	c.env["PEPPERTRAIL_KEY_FILE"] = c.path("caller.key")
	c.mustSucceed("keys", "customer", "--out", c.path("caller.key"))
	return c
}

func serveEvents(data ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, d := range data {
			fmt.Fprintf(w, "data: %s\n\n", d)
		}
	}
}

const (
	firstChunk = `{"choices":[{"delta":{"content":"hel"}}]}`
	lastChunk  = `{"choices":[{"delta":{"content":"lo"}}],"usage":{"total_tokens":9}}`
)

// Guards against an answer that is printed incompletely, and against request headers
// that are not sent.
func TestSendPrintsAnswerAndSendsHeaders(t *testing.T) {
	c := newCallerFixture(t, serveEvents(firstChunk, lastChunk, streamEnd))
	args := []string{"requests", "send", "--model", "chef", "--prompt", "hi", "--max-tokens", "16",
		"--idempotency-key", "run-7", "--budget", "regie-spare", "--non-idempotent"}
	assert.Equal(t, c.mustSucceed(args...), "hello\n")
	key, err := access.ReadAPIKey(c.path("caller.key"))
	assert.NilError(t, err)
	assert.Equal(t, c.lastHeader.Get("Authorization"), "Bearer "+key)
	assert.Equal(t, c.lastHeader.Get("Idempotency-Key"), "run-7")
	assert.Equal(t, c.lastHeader.Get("X-Peppertrail-Budget"), "regie-spare")
	assert.Equal(t, c.lastHeader.Get("X-Peppertrail-Non-Idempotent"), "true")
	assert.Equal(t, c.lastBody.MaxTokens, int64(16))
	assert.Assert(t, c.lastBody.Stream)
	var whole answer
	assert.NilError(t, json.Unmarshal([]byte(c.mustSucceed(append(args, "--json")...)), &whole))
	assert.Equal(t, whole.Text, "hello")
	assert.Equal(t, whole.Usage.TotalTokens, int64(9))
}

// Guards against reading an event with several data lines as several events. The
// gateway sends such an event for a chunk that ends with a line break.
func TestSendMultiLineEvents(t *testing.T) {
	c := newCallerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, ": comment\n\nevent: message\r\ndata: %s\r\ndata: \r\n\r\n", firstChunk)
		fmt.Fprint(w, "data:{\"choices\":\ndata:[{\"delta\":{\"content\":\"lo\"}}]}\n\ndata: [DONE]\n\n")
	})
	assert.Equal(t, c.mustSucceed("requests", "send", "--model", "chef", "--prompt", "hi"), "hello\n")
}

// Guards against accepting a last event that was truncated.
func TestSendTruncatedLastEvent(t *testing.T) {
	c := newCallerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "data: %s\n\ndata: [DONE]", firstChunk)
	})
	c.mustFail(exitFailed, []string{"before its last event"}, "requests", "send", "--model", "chef", "--prompt", "hi")
}

// Guards against a refusal that ends with exit code 0 or does not print its verdict,
// which tells whether a repetition is safe.
func TestSendPrintsRefusal(t *testing.T) {
	c := newCallerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusPaymentRequired)
		fmt.Fprint(w, `{"error":{"message":"spent","reason":"budget_exhausted","verdict":"not_run","request_id":"r1"}}`)
	})
	c.mustFail(exitFailed, []string{"verdict: not_run", "reason: budget_exhausted", "retry after: 3 s", "request: r1"},
		"requests", "send", "--model", "chef", "--prompt", "hi")
}

// Guards against accepting a stream that ended early as a complete answer.
func TestSendIncompleteStream(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"before its last event": serveEvents(firstChunk),
		"reason: target_failed": serveEvents(firstChunk, `{"error":{"message":"x","reason":"target_failed","verdict":"may_have_run"}}`),
		"cannot be decoded":     serveEvents(firstChunk, `{`),
		"unexpected reply":      func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) },
		"verdict: may_have_run": func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) },
	}
	for part, reply := range cases {
		c := newCallerFixture(t, reply)
		c.mustFail(exitFailed, []string{"verdict: may_have_run", part}, "requests", "send", "--model", "chef", "--prompt", "hi")
	}
}

// Guards against the verdict may_have_run for a request that was never sent.
func TestSendToUnreachableDaemonReportsNotRun(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	url := listener.URL
	listener.Close()
	c := newCallerFixture(t, serveEvents(streamEnd))
	c.mustFail(exitFailed, []string{"verdict: not_run"}, "requests", "send", "--daemon", url, "--model", "chef", "--prompt", "hi")
}

// Guards against sending a non-idempotent request without an idempotency key, and
// against errors that do not name the invalid flag.
func TestSendInvalidFlags(t *testing.T) {
	c := newCallerFixture(t, serveEvents(streamEnd))
	base := []string{"requests", "send", "--model", "chef", "--prompt", "hi"}
	c.mustFail(exitUsage, []string{"--idempotency-key"}, append(base, "--non-idempotent")...)
	c.mustFail(exitUsage, []string{"--max-tokens", "0", "1 to"}, append(base, "--max-tokens", "0")...)
	c.mustFail(exitUsage, []string{"--daemon", "nope"}, append(base, "--daemon", "nope")...)
	c.mustFail(exitUsage, []string{"--model"}, "requests", "send", "--prompt", "hi")
	c.mustFail(exitUsage, []string{"--prompt"}, "requests", "send", "--model", "chef")
}
