package engine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Guards against accepting a truncated stream as complete.
func TestStreamWithoutDoneFails(t *testing.T) {
	for name, body := range map[string]string{
		"no event":                       "",
		"tokens only":                    tokenEvents("a", "b"),
		"usage only":                     strings.Split(tokenEvents("a", "b")+finalEvents(2), "id: 3")[0],
		"truncated event":                tokenEvents("a") + "id: 1\ndata: {\"id\":",
		"done marker without blank line": tokenEvents("a") + "id: 1\ndata: [DONE]\n",
		"usage without blank line":       strings.TrimSuffix(strings.Split(tokenEvents("a")+finalEvents(1), "id: 2")[0], "\n"),
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, body) })
		s := openStream(t, newClient(t, Options{}), to)
		_, err := readAll(s)
		checkError(t, err, verdict.MayHaveRun, true)
		assert.ErrorIs(t, err, errDoneMissing, name)
		_, again := s.Next()
		assert.Equal(t, again, err, "a failed stream must return the same error again")
	}
}

// Guards against accepting a lost connection as the end of the stream.
func TestStreamConnectionLost(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, tokenEvents("a"))
		panic(http.ErrAbortHandler)
	})
	events, err := readAll(openStream(t, newClient(t, Options{}), to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.Equal(t, len(events), 1)
}

// Guards against waiting without limit for a target that stops in the middle of a
// stream.
func TestStreamIdleTimeout(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, tokenEvents("a"))
		blockUntilDisconnect(r)
	})
	events, err := readAll(openStream(t, newClient(t, Options{IdleTimeout: testIdleTimeout}), to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.ErrorIs(t, err, errIdleTimeout)
	assert.Equal(t, len(events), 1)
}

// Guards against counting the target as down because the reader is slow.
func TestStreamSlowReaderIsNotIdle(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, tokenEvents("a", "b")+finalEvents(2)) })
	s := openStream(t, newClient(t, Options{IdleTimeout: longIdleTimeout}), to)
	_, err := s.Next()
	assert.NilError(t, err)
	time.Sleep(longIdleTimeout * 3 / 2)
	_, err = readAll(s)
	assert.NilError(t, err)
}

// Guards against failing a stream because its total duration exceeds the idle
// timeout.
func TestStreamLongerThanIdleTimeout(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, line := range strings.SplitAfter(tokenEvents("a", "b", "c", "d")+finalEvents(4), "\n\n") {
			writeEvents(w, line)
			time.Sleep(longIdleTimeout / 4)
		}
	})
	_, err := readAll(openStream(t, newClient(t, Options{IdleTimeout: longIdleTimeout}), to))
	assert.NilError(t, err)
}

// Guards against accepting a stream that belongs to another request.
func TestStreamWithOtherIDFails(t *testing.T) {
	other := strings.ReplaceAll(tokenEvents("a")+finalEvents(1), "s.1", "s.2")
	unnamed := strings.ReplaceAll(tokenEvents("a")+finalEvents(1), `"id":"s.1",`, "")
	for name, body := range map[string]string{"other id": other, "no id": unnamed} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, body) })
		_, err := readAll(openStream(t, newClient(t, Options{}), to))
		checkError(t, err, verdict.MayHaveRun, false)
		assert.ErrorIs(t, err, errStreamMismatch, name)
	}
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Stream-Id", "s.2")
		writeEvents(w, tokenEvents("a")+finalEvents(1))
	})
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(to))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, errStreamMismatch)
}

// Guards against refusing chunks without an id although the header names the
// stream, and against accepting chunks with another id.
func TestStreamIdentifiedByHeader(t *testing.T) {
	for body, ok := range map[string]bool{
		strings.ReplaceAll(tokenEvents("a")+finalEvents(1), `"id":"s.1",`, ""): true,
		strings.ReplaceAll(tokenEvents("a")+finalEvents(1), "s.1", "s.2"):      false,
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Stream-Id", "s.1")
			writeEvents(w, body)
		})
		_, err := readAll(openStream(t, newClient(t, Options{}), to))
		assert.Equal(t, err == nil, ok, "%v", err)
	}
}

// Guards against accepting events that were lost, repeated or reordered.
func TestStreamOutOfOrderFails(t *testing.T) {
	events := strings.SplitAfter(tokenEvents("a", "b", "c")+finalEvents(3), "\n\n")
	for _, body := range []string{
		events[0] + events[2],
		events[0] + events[0],
		events[1],
		events[0] + events[1] + events[2] + events[4],
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, body) })
		_, err := readAll(openStream(t, newClient(t, Options{}), to))
		checkError(t, err, verdict.MayHaveRun, false)
		assert.ErrorIs(t, err, errEventOrder)
	}
}

// Guards against input that exhausts memory or cannot be decoded, and against
// counting the target as down because the connection closed after such input.
func TestStreamRejectsInvalidInput(t *testing.T) {
	for name, body := range map[string]string{
		"long line":            "data: " + strings.Repeat("x", 5000) + "\n\n",
		"long event":           strings.Repeat("data: "+strings.Repeat("x", 900)+"\n", 6) + "\n",
		"not JSON":             "data: {\n\n",
		"bad event id":         "id: x\n" + tokenEvents("a"),
		"reported error":       "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
		"missing token count":  "data: {\"id\":\"s.1\",\"usage\":{\"prompt_tokens\":3}}\n\n",
		"negative token count": "data: {\"id\":\"s.1\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":-1}}\n\n",
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			writeEvents(w, body)
		})
		s := openStream(t, newClient(t, Options{MaxEvent: 4096}), to)
		_, err := readAll(s)
		assert.Assert(t, err != nil, name)
		checkError(t, err, verdict.MayHaveRun, false)
	}
}

// Guards against counting a caller's cancellation against the target.
func TestStreamCancelledByCaller(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, tokenEvents("a"))
		blockUntilDisconnect(r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newClient(t, Options{}).Open(ctx, newCall(to))
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	cancel()
	_, err = s.Next()
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against a close that leaves the connection open, and against a read that
// succeeds after the close.
func TestStreamClose(t *testing.T) {
	disconnected := make(chan struct{})
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, tokenEvents("a"))
		blockUntilDisconnect(r)
		close(disconnected)
	})
	s := openStream(t, newClient(t, Options{}), to)
	assert.NilError(t, s.Close())
	_, err := s.Next()
	assert.ErrorIs(t, err, errStreamClosed)
	<-disconnected
}

// Guards against a close that waits without limit for a target that never ends
// its response.
func TestStreamCloseAfterDoneIsBounded(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, tokenEvents("a")+finalEvents(1))
		blockUntilDisconnect(r)
	})
	s := openStream(t, newClient(t, Options{}), to)
	_, err := readAll(s)
	assert.NilError(t, err)
	start := time.Now()
	_ = s.Close()
	assert.Assert(t, time.Since(start) < 10*trailerTimeout)
}

// Guards against uncounted tokens, which would let a stream exceed its output
// limit.
func TestChunkTokens(t *testing.T) {
	for data, want := range map[string]int{
		`{"choices":[{"delta":{"content":"a"}}]}`:                              1,
		`{"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`:    2,
		`{"choices":[{"delta":{"reasoning_content":"a"}}]}`:                    1,
		`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`:                 1,
		`{"choices":[{"delta":{"role":"assistant"}}],"usage":null}`:            0,
		`{"choices":[{"delta":{"tool_calls":null}}],"error":null}`:             0,
		`{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`:     0,
		`{"choices":[{"delta":{"content":null},"finish_reason":"stop"}]}`:      0,
		`{"choices":[{"delta":{"content":"","reasoning_content":"thought"}}]}`: 1,
	} {
		c, err := decodeChunk([]byte(data))
		assert.NilError(t, err)
		assert.Equal(t, c.tokens(), want, data)
	}
}

// Guards against returning an incomplete event at the end of the input, and
// against misreading comments, unknown fields or lines that end with CR LF.
func TestSSEReaderIncompleteEventIsEOF(t *testing.T) {
	r := newSSEReader(strings.NewReader(": comment\r\nevent: x\r\n\r\ndata:a\r\ndata: b\r\nid: 3\r\n\r\ndata: c\n"), 100)
	e, err := r.next()
	assert.NilError(t, err)
	assert.Equal(t, string(e.data), "a\nb")
	assert.Equal(t, e.id, 3)
	_, err = r.next()
	assert.ErrorIs(t, err, io.EOF)
}
