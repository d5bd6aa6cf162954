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

// caller is a fixture with a stand-in for a daemon's caller listener.
type caller struct {
	*fixture
	header http.Header
	body   chatRequest
}

func newCaller(t *testing.T, reply http.HandlerFunc) *caller {
	t.Helper()
	c := &caller{fixture: newFixture(t)}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.header = r.Header
		raw, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(raw, &c.body)
		reply(w, r)
	}))
	t.Cleanup(listener.Close)
	c.env["PEPPERTRAIL_DAEMON"] = listener.URL
	c.env["PEPPERTRAIL_KEY_FILE"] = c.path("caller.key")
	c.ok("keys", "customer", "--out", c.path("caller.key"))
	return c
}

func events(data ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, d := range data {
			fmt.Fprintf(w, "data: %s\n\n", d)
		}
	}
}

const (
	helloEvent = `{"choices":[{"delta":{"content":"hel"}}]}`
	worldEvent = `{"choices":[{"delta":{"content":"lo"}}],"usage":{"total_tokens":9}}`
)

// Guards against an answer that is cut, or headers that are not sent.
func TestSend(t *testing.T) {
	c := newCaller(t, events(helloEvent, worldEvent, streamEnd))
	args := []string{"requests", "send", "--model", "chef", "--prompt", "hi", "--max-tokens", "16",
		"--idempotency-key", "run-7", "--budget", "regie-spare", "--non-idempotent"}
	assert.Equal(t, c.ok(args...), "hello\n")
	key, err := access.ReadAPIKey(c.path("caller.key"))
	assert.NilError(t, err)
	assert.Equal(t, c.header.Get("Authorization"), "Bearer "+key)
	assert.Equal(t, c.header.Get("Idempotency-Key"), "run-7")
	assert.Equal(t, c.header.Get("X-Peppertrail-Budget"), "regie-spare")
	assert.Equal(t, c.header.Get("X-Peppertrail-Non-Idempotent"), "true")
	assert.Equal(t, c.body.MaxTokens, int64(16))
	assert.Assert(t, c.body.Stream)
	var whole answer
	assert.NilError(t, json.Unmarshal([]byte(c.ok(append(args, "--json")...)), &whole))
	assert.Equal(t, whole.Text, "hello")
	assert.Equal(t, whole.Usage.TotalTokens, int64(9))
}

// Guards against an event in several data lines, as the gateway sends a chunk
// that ends with a line break, being read as several events.
func TestSendMultiLineEvents(t *testing.T) {
	c := newCaller(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, ": comment\n\nevent: message\r\ndata: %s\r\ndata: \r\n\r\n", helloEvent)
		fmt.Fprint(w, "data:{\"choices\":\ndata:[{\"delta\":{\"content\":\"lo\"}}]}\n\ndata: [DONE]\n\n")
	})
	assert.Equal(t, c.ok("requests", "send", "--model", "chef", "--prompt", "hi"), "hello\n")
}

// Guards against a last event that was cut off being taken as received.
func TestSendCutLastEvent(t *testing.T) {
	c := newCaller(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "data: %s\n\ndata: [DONE]", helloEvent)
	})
	c.fails(exitFailed, []string{"before its last event"}, "requests", "send", "--model", "chef", "--prompt", "hi")
}

// Guards against a refusal that looks like success or hides whether a
// repetition is safe.
func TestSendRefused(t *testing.T) {
	c := newCaller(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusPaymentRequired)
		fmt.Fprint(w, `{"error":{"message":"spent","reason":"budget_exhausted","verdict":"not_run","request_id":"r1"}}`)
	})
	c.fails(exitFailed, []string{"verdict: not_run", "reason: budget_exhausted", "retry after: 3 s", "request: r1"},
		"requests", "send", "--model", "chef", "--prompt", "hi")
}

// Guards against a stream that ends early being taken for a whole answer.
func TestSendBrokenStream(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"before its last event": events(helloEvent),
		"reason: target_failed": events(helloEvent, `{"error":{"message":"x","reason":"target_failed","verdict":"may_have_run"}}`),
		"cannot be decoded":     events(helloEvent, `{`),
		"unexpected reply":      func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) },
		"verdict: may_have_run": func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) },
	}
	for part, reply := range cases {
		c := newCaller(t, reply)
		c.fails(exitFailed, []string{"verdict: may_have_run", part}, "requests", "send", "--model", "chef", "--prompt", "hi")
	}
}

// Guards against "may have run" for a request that was never sent.
func TestSendUnreachable(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	url := listener.URL
	listener.Close()
	c := newCaller(t, events(streamEnd))
	c.fails(exitFailed, []string{"verdict: not_run"}, "requests", "send", "--daemon", url, "--model", "chef", "--prompt", "hi")
}

// Guards against a non-idempotent request without a key, and against flags
// whose error does not name them.
func TestSendUsage(t *testing.T) {
	c := newCaller(t, events(streamEnd))
	base := []string{"requests", "send", "--model", "chef", "--prompt", "hi"}
	c.fails(exitUsage, []string{"--idempotency-key"}, append(base, "--non-idempotent")...)
	c.fails(exitUsage, []string{"--max-tokens", "0", "1 to"}, append(base, "--max-tokens", "0")...)
	c.fails(exitUsage, []string{"--daemon", "nope"}, append(base, "--daemon", "nope")...)
	c.fails(exitUsage, []string{"--model"}, "requests", "send", "--prompt", "hi")
	c.fails(exitUsage, []string{"--prompt"}, "requests", "send", "--model", "chef")
}
