package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Guards against a request without its headers and against events without their
// fields.
func TestOpenReadsWholeStream(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method != http.MethodPost || r.URL.Path != "/v1/chat/completions" || string(body) != `{"messages":[]}` ||
			r.Header.Get("X-Stream-Id") != "s.1" || r.Header.Get("X-Priority") != "4" || r.Header.Get("X-Fencing") != "7" {
			http.Error(w, "unexpected request", http.StatusBadRequest)
			return
		}
		writeEvents(w, tokenEvents("a", "b", "")+finalEvents(3))
	})
	s := openStream(t, newClient(t, Options{}), to)
	events, err := readAll(s)
	assert.NilError(t, err)
	usage := &Usage{PromptTokens: 3, CompletionTokens: 3, TotalTokens: 6}
	assert.Equal(t, len(events), 4)
	for i, e := range events {
		assert.Equal(t, e.Index, i)
		assert.Equal(t, e.Done, i == 3)
	}
	assert.Equal(t, string(events[1].Data), `{"id":"s.1","choices":[{"delta":{"content":"b"}}]}`)
	assert.Equal(t, events[0].Tokens+events[1].Tokens, 2)
	assert.Equal(t, events[2].Tokens+events[3].Tokens, 0)
	assert.Assert(t, events[2].Usage == nil)
	assert.DeepEqual(t, events[3].Usage, usage)
	_, err = s.Next()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against reporting "may have run" for a request that was never sent,
// which would prevent a retry.
func TestOpenConnectionRefusedIsNotRun(t *testing.T) {
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(closedTarget(t)))
	checkError(t, err, verdict.NotRun, true)
}

// Guards against counting a caller's cancellation against the target.
func TestOpenCancelledBeforeDial(t *testing.T) {
	to, requests := startTarget(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newClient(t, Options{}).Open(ctx, newCall(to))
	checkError(t, err, verdict.NotRun, false)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, requests.Load(), int32(0))
}

// Guards against reporting "not run" for a request that the target received
// before the caller cancelled.
func TestOpenCancelledWhileWaiting(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	to, _ := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		blockUntilDisconnect(r)
	})
	_, err := newClient(t, Options{}).Open(ctx, newCall(to))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against reporting "not run" for a request that the target read before
// the connection was lost.
func TestOpenConnectionClosedAfterRequest(t *testing.T) {
	to, requests := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.Equal(t, requests.Load(), int32(1))
}

// Guards against a retry by net/http when a reused connection is closed after the
// target read the request.
func TestOpenIsNotRepeatedOnReusedConnection(t *testing.T) {
	for _, body := range []string{`{"messages":[]}`, ""} {
		to, clientAddrs := startTargetRespondingOnce(t, func(w http.ResponseWriter) { writeEvents(w, tokenEvents("a")+finalEvents(1)) })
		c := newClient(t, Options{})
		s := openStream(t, c, to)
		_, err := readAll(s)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
		call := newCall(to)
		call.Body = []byte(body)
		_, err = c.Open(context.Background(), call)
		checkError(t, err, verdict.MayHaveRun, true)
		checkSentOnceOnReusedConn(t, clientAddrs)
	}
}

// Guards against reporting a refusal before acceptance as "may have run", and
// against reporting any other error status as "not run".
func TestOpenRefusals(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   verdict.Verdict
	}{
		{http.StatusConflict, `{"error":"stale fencing number"}`, verdict.NotRun},
		{http.StatusTooManyRequests, `{"error":"queue is full"}`, verdict.NotRun},
		{http.StatusServiceUnavailable, "draining", verdict.NotRun},
		{http.StatusConflict, `{"error":"stream id was already used","code":"stream_exists"}`, verdict.MayHaveRun},
		{http.StatusBadRequest, `{"error":{"message":"no"}}`, verdict.MayHaveRun},
		{http.StatusInternalServerError, "", verdict.MayHaveRun},
		{http.StatusBadGateway, "", verdict.MayHaveRun},
		{http.StatusNoContent, "", verdict.MayHaveRun},
	} {
		to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		_, err := newClient(t, Options{}).Open(context.Background(), newCall(to))
		e := checkError(t, err, c.want, false)
		assert.Equal(t, e.Status, c.status)
	}
}

// Guards against following a redirect, which would send the request to a second
// target.
func TestOpenDoesNotFollowRedirects(t *testing.T) {
	other, requests := startTarget(t, func(http.ResponseWriter, *http.Request) {})
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+other.Addr, http.StatusTemporaryRedirect)
	})
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(to))
	e := checkError(t, err, verdict.MayHaveRun, false)
	assert.Equal(t, e.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, requests.Load(), int32(0))
}

// Guards against waiting without limit for a target that accepts connections but
// never responds.
func TestOpenIdleTimeout(t *testing.T) {
	to, _ := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { blockUntilDisconnect(r) })
	_, err := newClient(t, Options{IdleTimeout: testIdleTimeout}).Open(context.Background(), newCall(to))
	checkError(t, err, verdict.MayHaveRun, true)
	assert.ErrorIs(t, err, errIdleTimeout)
}

// Guards against reading an error page with status 200 as a stream.
func TestOpenRejectsNonEventStream(t *testing.T) {
	to, _ := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(to))
	checkError(t, err, verdict.MayHaveRun, false)
	assert.ErrorIs(t, err, errNotEventStream)
}

// Guards against sending any part of a request whose body exceeds Options.MaxBody.
func TestOpenBodyLimit(t *testing.T) {
	to, requests := startTarget(t, func(http.ResponseWriter, *http.Request) {})
	_, err := newClient(t, Options{MaxBody: 3}).Open(context.Background(), newCall(to))
	checkError(t, err, verdict.NotRun, false)
	assert.Equal(t, requests.Load(), int32(0))
}

// Guards against opening a connection per stream, which would cost a round trip
// and a port for each.
func TestConnectionIsReusedAfterDone(t *testing.T) {
	var addrs sync.Map
	to, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		addrs.Store(r.RemoteAddr, true)
		writeEvents(w, tokenEvents("a")+finalEvents(1))
		time.Sleep(time.Millisecond) // the end of the response arrives after the done marker
	})
	c := newClient(t, Options{})
	for range 5 {
		s := openStream(t, c, to)
		_, err := readAll(s)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
	}
	connections := 0
	addrs.Range(func(any, any) bool {
		connections++
		return true
	})
	assert.Equal(t, connections, 1)
}

// Guards against taking targets out of service when this host has no file
// descriptors left.
func TestLocalDialErrorDoesNotMarkTargetDown(t *testing.T) {
	for _, fault := range localDialErrors {
		assert.Assert(t, !isRemoteDialError(dialError(fault)), "%v", fault)
	}
	assert.Assert(t, isRemoteDialError(dialError(fmt.Errorf("no route"))))
	assert.Assert(t, !isRemoteDialError(io.EOF))
}

// Guards against an invalid address that counts as a target failure or is
// reported as "may have run".
func TestOpenInvalidAddress(t *testing.T) {
	_, err := newClient(t, Options{}).Open(context.Background(), newCall(target.Target{}))
	checkError(t, err, verdict.NotRun, false)
}
