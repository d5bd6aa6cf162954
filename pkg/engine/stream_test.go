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

// Guards against a short answer that passes for a whole one.
func TestStreamWithoutDoneFails(t *testing.T) {
	for name, body := range map[string]string{
		"no event":         "",
		"tokens only":      events("a", "b"),
		"usage only":       strings.Split(events("a", "b")+ending(2), "id: 3")[0],
		"cut in an event":  events("a") + "id: 1\ndata: {\"id\":",
		"unfinished done":  events("a") + "id: 1\ndata: [DONE]\n",
		"unfinished usage": strings.TrimSuffix(strings.Split(events("a")+ending(1), "id: 2")[0], "\n"),
	} {
		to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, body) })
		s := open(t, newClient(t, Options{}), to)
		_, err := readAll(s)
		checkError(t, err, verdict.MayHaveRun, true)
		assert.ErrorIs(t, err, errNoDone, name)
		_, again := s.Next()
		assert.Equal(t, again, err, "a failed stream stays failed")
	}
}

// Guards against a broken connection that passes for the end of the answer.
func TestStreamConnectionLost(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, events("a"))
		panic(http.ErrAbortHandler)
	})
	found, err := readAll(open(t, newClient(t, Options{}), to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.Equal(t, len(found), 1)
}

// Guards against a target that stops in the middle and holds the caller.
func TestStreamIdleTimeout(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		reply(w, events("a"))
		hang(r)
	})
	found, err := readAll(open(t, newClient(t, Options{IdleTimeout: testIdle}), to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.ErrorIs(t, err, errIdle)
	assert.Equal(t, len(found), 1)
}

// Guards against a slow reader whose target is taken for dead.
func TestStreamSlowReaderIsNotIdle(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, events("a", "b")+ending(2)) })
	s := open(t, newClient(t, Options{IdleTimeout: longIdle}), to)
	_, err := s.Next()
	assert.NilError(t, err)
	time.Sleep(longIdle * 3 / 2)
	_, err = readAll(s)
	assert.NilError(t, err)
}

// Guards against a long answer that fails because its whole time exceeds the idle timeout.
func TestStreamLongerThanIdleTimeout(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, line := range strings.SplitAfter(events("a", "b", "c", "d")+ending(4), "\n\n") {
			reply(w, line)
			time.Sleep(longIdle / 4)
		}
	})
	_, err := readAll(open(t, newClient(t, Options{IdleTimeout: longIdle}), to))
	assert.NilError(t, err)
}

// Guards against an answer that belongs to another request.
func TestStreamOfAnotherIDFails(t *testing.T) {
	other := strings.ReplaceAll(events("a")+ending(1), "s.1", "s.2")
	unnamed := strings.ReplaceAll(events("a")+ending(1), `"id":"s.1",`, "")
	for name, body := range map[string]string{"other id": other, "no id": unnamed} {
		to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, body) })
		_, err := readAll(open(t, newClient(t, Options{}), to))
		checkError(t, err, verdict.MayHaveRun, false)
		assert.ErrorIs(t, err, errOtherID, name)
	}
	to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Stream-Id", "s.2")
		reply(w, events("a")+ending(1))
	})
	_, err := newClient(t, Options{}).Open(context.Background(), callTo(to))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, errOtherID)
}

// Guards against a stream whose chunks carry an id of the vendor's although
// the header names the stream, and against the opposite mistake.
func TestStreamNamedByHeader(t *testing.T) {
	for body, ok := range map[string]bool{
		strings.ReplaceAll(events("a")+ending(1), `"id":"s.1",`, ""): true,
		strings.ReplaceAll(events("a")+ending(1), "s.1", "s.2"):      false,
	} {
		to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Stream-Id", "s.1")
			reply(w, body)
		})
		_, err := readAll(open(t, newClient(t, Options{}), to))
		assert.Equal(t, err == nil, ok, "%v", err)
	}
}

// Guards against events that are lost, repeated or reordered on the way.
func TestStreamOutOfOrderFails(t *testing.T) {
	whole := strings.SplitAfter(events("a", "b", "c")+ending(3), "\n\n")
	for _, body := range []string{
		whole[0] + whole[2],
		whole[0] + whole[0],
		whole[1],
		whole[0] + whole[1] + whole[2] + whole[4],
	} {
		to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { reply(w, body) })
		_, err := readAll(open(t, newClient(t, Options{}), to))
		checkError(t, err, verdict.MayHaveRun, false)
		assert.ErrorIs(t, err, errEventOrder)
	}
}

// Guards against input that exhausts memory or cannot be interpreted, and
// against counting it as a dead target although the connection ended with it.
func TestStreamUnusableInput(t *testing.T) {
	for name, body := range map[string]string{
		"long line":      "data: " + strings.Repeat("x", 5000) + "\n\n",
		"long event":     strings.Repeat("data: "+strings.Repeat("x", 900)+"\n", 6) + "\n",
		"not JSON":       "data: {\n\n",
		"bad event id":   "id: x\n" + events("a"),
		"reported error": "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
		"usage lacks":    "data: {\"id\":\"s.1\",\"usage\":{\"prompt_tokens\":3}}\n\n",
		"usage negative": "data: {\"id\":\"s.1\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":-1}}\n\n",
	} {
		to, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			reply(w, body)
		})
		s := open(t, newClient(t, Options{MaxEvent: 4096}), to)
		_, err := readAll(s)
		assert.Assert(t, err != nil, name)
		checkError(t, err, verdict.MayHaveRun, false)
	}
}

// Guards against a caller's cancellation that counts against the target.
func TestStreamCancelledByCaller(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		reply(w, events("a"))
		hang(r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newClient(t, Options{}).Open(ctx, callTo(to))
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	cancel()
	_, err = s.Next()
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against a close that leaves the connection open or a later read that succeeds.
func TestStreamClose(t *testing.T) {
	gone := make(chan struct{})
	to, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		reply(w, events("a"))
		hang(r)
		close(gone)
	})
	s := open(t, newClient(t, Options{}), to)
	assert.NilError(t, s.Close())
	_, err := s.Next()
	assert.ErrorIs(t, err, errClosed)
	<-gone
}

// Guards against a close that waits long for a target that never ends its answer.
func TestStreamCloseAfterDoneIsBounded(t *testing.T) {
	to, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		reply(w, events("a")+ending(1))
		hang(r)
	})
	s := open(t, newClient(t, Options{}), to)
	_, err := readAll(s)
	assert.NilError(t, err)
	start := time.Now()
	_ = s.Close()
	assert.Assert(t, time.Since(start) < 10*trailerTimeout)
}

// Guards against tokens that are not counted, which would exceed the output limit.
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

// Guards against a reader that needs its input in particular pieces.
func TestReaderEOFIsNotAnEvent(t *testing.T) {
	r := newSSEReader(strings.NewReader(": comment\r\nevent: x\r\n\r\ndata:a\r\ndata: b\r\nid: 3\r\n\r\ndata: c\n"), 100)
	e, err := r.next()
	assert.NilError(t, err)
	assert.Equal(t, string(e.data), "a\nb")
	assert.Equal(t, e.id, 3)
	_, err = r.next()
	assert.ErrorIs(t, err, io.EOF)
}
