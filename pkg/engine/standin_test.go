package engine

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/service"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// startEngine runs an engine stand-in for the duration of a test.
func startEngine(t testing.TB, tokenTime time.Duration) (target.Target, *standin.Engine) {
	e, err := standin.New(standin.Options{
		Kind: target.PromText, Slots: 64, TokenTime: tokenTime, CacheBlocks: 64, Retention: time.Minute,
	})
	assert.NilError(t, err)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		assert.NilError(t, e.Close())
	})
	return target.Target{Addr: srv.Listener.Addr().String()}, e
}

// joinContent returns the concatenated content of events.
func joinContent(t testing.TB, events []Event) string {
	var b strings.Builder
	for _, e := range events {
		if e.Data == nil {
			continue
		}
		c, err := decodeChunk(e.Data)
		assert.NilError(t, err)
		for _, choice := range c.Choices {
			b.WriteString(choice.Delta.Content)
		}
	}
	return b.String()
}

// Guards against a client and an engine stand-in that disagree on the protocol.
func TestClientWithEngine(t *testing.T) {
	to, e := startEngine(t, time.Millisecond)
	c := newClient(t, Options{})
	ctx := context.Background()
	call := newCall(to)
	call.Body = []byte(`{"messages":[{"role":"user","content":"abcd"}],"metadata":{"x_tokens":"20"}}`)
	s, err := c.Open(ctx, call)
	assert.NilError(t, err)
	defer s.Close()
	first, err := s.Next()
	assert.NilError(t, err)
	resumed, err := c.Resume(ctx, to, call.Stream, 1)
	assert.NilError(t, err)
	defer resumed.Close()
	rest, err := readAll(resumed)
	assert.NilError(t, err)
	want, err := standin.CompletionText(call.Stream, call.Body)
	assert.NilError(t, err)
	assert.Equal(t, joinContent(t, append([]Event{first}, rest...)), want)
	usage, err := c.Cancel(ctx, to, call.Stream)
	assert.NilError(t, err)
	assert.Equal(t, usage, Usage{PromptTokens: 4, CompletionTokens: 20, TotalTokens: 24})
	assert.DeepEqual(t, rest[len(rest)-1].Usage, &usage)
	_, err = c.Open(ctx, call)
	checkError(t, err, verdict.MayHaveRun, false)
	e.Drain()
	call.Stream = "s.2"
	_, err = c.Open(ctx, call)
	checkError(t, err, verdict.NotRun, false)
	_, err = c.Resume(ctx, to, "s.2", 0)
	assert.ErrorIs(t, err, ErrUnknownStream)
}

// Guards against a reader that accepts a cancelled stream as complete.
func TestCancelledStreamIsNotComplete(t *testing.T) {
	to, _ := startEngine(t, time.Millisecond)
	c := newClient(t, Options{})
	ctx := context.Background()
	call := newCall(to)
	call.Body = []byte(`{"messages":[{"role":"user","content":"abcd"}],"metadata":{"x_tokens":"100000"}}`)
	s, err := c.Open(ctx, call)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	usage, err := c.Cancel(ctx, to, call.Stream)
	assert.NilError(t, err)
	assert.Assert(t, usage.CompletionTokens > 0)
	events, err := readAll(s)
	checkError(t, err, verdict.MayHaveRun, true)
	assert.Equal(t, int64(1+len(events)), usage.CompletionTokens)
}

// Guards against a client and a service stand-in that disagree on the protocol.
func TestClientWithService(t *testing.T) {
	s, err := service.New(service.Options{Capacity: 1})
	assert.NilError(t, err)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	to := target.Target{Addr: srv.Listener.Addr().String()}
	c := newClient(t, Options{})
	response, err := c.Do(context.Background(), serviceCall(to, "POST", "/orders?x=1", "abc"))
	assert.NilError(t, err)
	var echo service.Echo
	assert.NilError(t, json.Unmarshal(response.Body, &echo))
	assert.Equal(t, echo.Stream, "s.1")
	assert.Equal(t, echo.Path, "/orders?x=1")
	s.Drain()
	_, err = c.Do(context.Background(), serviceCall(to, "POST", "/orders", "abc"))
	checkError(t, err, verdict.NotRun, false)
	assert.Equal(t, len(s.Journal()), 1)
}
