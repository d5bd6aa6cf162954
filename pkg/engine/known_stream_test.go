package engine

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Guards against a resume that requests the wrong stream or index.
func TestResumeFromIndex(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.RequestURI != "/v1/streams/s.1%2F+%25?from=1" && r.RequestURI != "/v1/streams/s.1%2F%2B%25?from=1" {
			http.Error(w, r.RequestURI, http.StatusBadRequest)
			return
		}
		w.Header().Set("X-Stream-Id", "s.1/+%")
		writeEvents(w, "id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n")
	})
	s, err := newClient(t, Options{}).Resume(context.Background(), to, "s.1/+%", 1)
	assert.NilError(t, err)
	defer s.Close()
	events, err := readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Index, 1)
	assert.Assert(t, events[1].Usage == nil)
}

// Guards against accepting a resumed stream that starts at another index than
// requested.
func TestResumeRejectsWrongStartIndex(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, tokenEvents("a", "b")+finalEvents(2)) })
	s, err := newClient(t, Options{}).Resume(context.Background(), to, "s.1", 1)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.ErrorIs(t, err, errEventOrder)
}

// Guards against reporting "not run" for a stream that was dispatched earlier and
// whose target is now unreachable or no longer knows it.
func TestKnownStreamFailuresMayHaveRun(t *testing.T) {
	ctx := context.Background()
	c := newClient(t, Options{})
	closed := closedTarget(t)
	_, err := c.Resume(ctx, closed, "s.1", 0)
	checkError(t, err, verdict.MayHaveRun, true)
	_, err = c.Cancel(ctx, closed, "s.1")
	checkError(t, err, verdict.MayHaveRun, true)
	for _, status := range []int{http.StatusNotFound, http.StatusGone, http.StatusServiceUnavailable} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, err = c.Resume(ctx, to, "s.1", 0)
		e := checkError(t, err, verdict.MayHaveRun, false)
		assert.Equal(t, e.Status, status)
		_, cancelErr := c.Cancel(ctx, to, "s.1")
		checkError(t, cancelErr, verdict.MayHaveRun, false)
		if status == http.StatusNotFound {
			assert.ErrorIs(t, err, ErrUnknownStream)
			assert.ErrorIs(t, cancelErr, ErrUnknownStream)
		}
	}
}

// Guards against a cancel that returns wrong token counts or assumes zero for
// missing ones.
func TestCancelUsage(t *testing.T) {
	for body, want := range map[string]*Usage{
		`{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`: {PromptTokens: 2, CompletionTokens: 5, TotalTokens: 7},
		`{"prompt_tokens":2,"completion_tokens":5}`:                  {PromptTokens: 2, CompletionTokens: 5, TotalTokens: 7},
		`{}`:                        nil,
		`{"completion_tokens":5}`:   nil,
		`{"prompt_tokens":2,"compl`: nil,
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodDelete || r.URL.Path != "/v1/streams/s.1" {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = io.WriteString(w, body)
		})
		usage, err := newClient(t, Options{}).Cancel(context.Background(), to, "s.1")
		if want == nil {
			checkError(t, err, verdict.MayHaveRun, false)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, usage, *want)
	}
}

// Guards against a cancel that waits without limit.
func TestCancelIdleTimeout(t *testing.T) {
	to, _ := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { blockUntilDisconnect(r) })
	_, err := newClient(t, Options{IdleTimeout: testIdleTimeout}).Cancel(context.Background(), to, "s.1")
	checkError(t, err, verdict.MayHaveRun, true)
}
