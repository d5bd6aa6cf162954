package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// doInBackground sends a request in a goroutine and returns a channel with its response.
func (f *fixture) doInBackground(req *http.Request) <-chan *httptest.ResponseRecorder {
	result := make(chan *httptest.ResponseRecorder, 1)
	go func() { result <- f.do(req) }()
	return result
}

// Guards against an idempotent request that continues after its caller disconnected, and
// against charging its bound although the target reports the usage.
func TestIdempotentCallerDisconnects(t *testing.T) {
	for _, gateIndex := range []int{0, 1} {
		f := newFixture(t)
		f.engine.behaviors["t1"].gate = make(chan struct{})
		f.engine.behaviors["t1"].gateIndex = gateIndex
		ctx, disconnect := context.WithCancel(t.Context())
		result := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey).WithContext(ctx))
		<-f.engine.gateReached
		disconnect()
		<-result
		f.drain(t)
		assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 1)
		assert.Equal(t, settlements[0].Outcome, home.Failed)
		assert.Equal(t, settlements[0].Tokens, int64(3))
		assert.Equal(t, settlements[0].UsageKnown, true)
		assert.Equal(t, settlements[0].TargetDied, false, "a disconnected caller must not count as a target crash")
		assert.Equal(t, settlements[0].Final, true)
		assert.Equal(t, len(f.picker.failed), 0)
		assertMetric(t, f, `requests_total{outcome="cancelled",service="chef-llm"} 1`)
	}
}

// Guards against a non-idempotent request that is cancelled when its caller disconnects,
// so that a retry cannot get the response.
func TestNonIdempotentCallerDisconnectsAndRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		gate := make(chan struct{})
		f.engine.behaviors["t1"].gate = gate
		f.engine.behaviors["t1"].gateIndex = 1
		ctx, disconnect := context.WithCancel(t.Context())
		result := f.doInBackground(newRequest("POST", chatPath, streamBody, nonIdempotent).WithContext(ctx))
		<-f.engine.gateReached
		disconnect()
		synctest.Wait()
		close(gate)
		<-result
		assert.Equal(t, len(f.engine.cancelled), 0)
		billLine, ok := f.home.billLine(testIdempotencyKey)
		assert.Assert(t, ok)
		assert.Equal(t, billLine.Tokens, int64(4))
		w := f.chat(streamBody, nonIdempotent)
		assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
		assert.Equal(t, f.engine.dispatches(), 1)
		f.drain(t)
		f.server.Close()
	})
}

// Guards against attributing the failure of a target to the caller's disconnect when a
// non-idempotent request continues after its caller disconnected.
func TestNonIdempotentCallerDisconnectsAndTargetDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		gate := make(chan struct{})
		f.engine.behaviors["t1"].gate = gate
		f.engine.behaviors["t1"].gateIndex = 1
		f.engine.behaviors["t1"].breaks = []int{1}
		f.engine.behaviors["t1"].dropsStreams = true
		ctx, disconnect := context.WithCancel(t.Context())
		result := f.doInBackground(newRequest("POST", chatPath, streamBody, nonIdempotent).WithContext(ctx))
		<-f.engine.gateReached
		disconnect()
		synctest.Wait()
		close(gate)
		<-result
		f.drain(t)
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 1)
		assert.Equal(t, settlements[0].Outcome, home.Failed)
		assert.Equal(t, settlements[0].TargetDied, true)
		assert.Equal(t, settlements[0].Tokens, settlements[0].Bound)
		assert.Equal(t, settlements[0].Final, true)
		f.server.Close()
	})
}

// blockedWriter is the connection of a caller that reads no bytes before it disconnects.
type blockedWriter struct {
	*httptest.ResponseRecorder
	writing      chan struct{} // closed by Write when it begins
	disconnected chan struct{} // closed by the test; Write fails then
}

func (w *blockedWriter) Write([]byte) (int, error) {
	close(w.writing)
	<-w.disconnected
	return 0, io.ErrClosedPipe
}

// Guards against a write error that is not handled as a disconnect of the caller.
func TestWriteErrorEndsRequest(t *testing.T) {
	f := newFixture(t)
	w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), disconnected: make(chan struct{})}
	close(w.disconnected)
	f.server.ServeHTTP(w, newRequest("POST", chatPath, streamBody, withIdempotencyKey))
	f.drain(t)
	assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
	assertMetric(t, f, `requests_total{outcome="cancelled",service="chef-llm"} 1`)
}

// Guards against settling a stream twice or cancelling it after its dispatching request
// settled it, when a caller that attached to the stream disconnects later.
func TestAttachedCallerDisconnectsFromSettledStream(t *testing.T) {
	for _, desc := range []string{"dispatcher completes", "dispatcher fails"} {
		t.Run(desc, func(t *testing.T) {
			f := newFixture(t)
			gate := make(chan struct{})
			f.engine.behaviors["t1"].gate = gate
			f.engine.behaviors["t1"].gateIndex = 1
			if desc == "dispatcher fails" {
				// The connections are, in order: dispatcher, attached request, two resumes
				// of the dispatcher.
				f.engine.behaviors["t1"].breaks = []int{1, 9, 1, 1}
				f.engine.behaviors["t1"].breakErr = &engine.Error{Verdict: verdict.MayHaveRun, Err: errReset}
			}
			first := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey))
			<-f.engine.gateReached
			w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), disconnected: make(chan struct{})}
			second := make(chan struct{})
			go func() {
				f.server.ServeHTTP(w, newRequest("POST", chatPath, streamBody, withIdempotencyKey))
				close(second)
			}()
			<-w.writing
			close(gate)
			<-first
			close(w.disconnected)
			<-second
			f.drain(t)
			assert.Equal(t, len(f.engine.cancelled), 0)
			assert.Equal(t, len(f.home.settled()), 1)
		})
	}
}

// Guards against a stream that is never settled because its dispatching caller
// disconnected and the request that attached to it failed afterwards.
func TestAttachedReaderFailsAfterDispatcherDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		gate := make(chan struct{})
		f.engine.behaviors["t1"].gate = gate
		f.engine.behaviors["t1"].gateIndex = 1
		f.engine.behaviors["t1"].breaks = []int{9, 1}
		f.engine.behaviors["t1"].dropsStreams = true
		ctx, disconnect := context.WithCancel(t.Context())
		first := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey).WithContext(ctx))
		<-f.engine.gateReached
		second := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey))
		<-f.engine.gateReached
		disconnect()
		<-first
		close(gate)
		<-second
		f.drain(t)
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 1)
		assert.Equal(t, settlements[0].Stream, "g1.1")
		assert.Equal(t, settlements[0].Outcome, home.Failed)
		f.server.Close()
	})
}

// Guards against a request that stays open at its home because its failed attempt gets no
// final settlement. This happens when the request attaches to the stream of another daemon
// after the failed attempt and its caller then disconnects.
func TestCallerDisconnectsFromAttachmentAfterFailedAttempt(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].openErr = notRun(errDial)
	ctx, disconnect := context.WithCancel(t.Context())
	f.home.reserveFunc = func(req home.ReserveRequest) (home.ReserveReply, error) {
		if req.Attempt == 1 {
			return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
		}
		return home.ReserveReply{Outcome: home.Attach, Stream: "g9.1", Target: "t2"}, nil
	}
	f.engine.resume = func(ctx context.Context) error {
		disconnect()
		<-ctx.Done()
		return notRun(ctx.Err())
	}
	f.do(newRequest("POST", chatPath, streamBody, withIdempotencyKey).WithContext(ctx))
	f.drain(t)
	settlements := f.home.settled()
	assert.Equal(t, len(settlements), 2)
	for i, s := range settlements {
		assert.Equal(t, s.Stream, "g1.1", "a stream of another daemon was settled")
		assert.Equal(t, s.Final, i == 1)
	}
}

// Guards against a dispatch for a caller that disconnected during the reservation.
func TestCallerDisconnectsDuringReservation(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		f := newFixture(t)
		ctx, disconnect := context.WithCancel(t.Context())
		f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
			disconnect()
			return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
		}
		f.do(newRequest("POST", chatPath, streamBody, set).WithContext(ctx))
		assert.Equal(t, f.engine.dispatches(), 0)
		f.drain(t)
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 1)
		assert.Equal(t, settlements[0].Outcome, home.NotDispatched)
	}
}

// Guards against two dispatches or mixed responses for two concurrent requests with the
// same idempotency key.
func TestConcurrentCallersWithSameKey(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		f := newFixture(t)
		gate := make(chan struct{})
		f.engine.behaviors["t1"].gate = gate
		f.engine.behaviors["t1"].gateIndex = 1
		first := f.doInBackground(newRequest("POST", chatPath, streamBody, set))
		<-f.engine.gateReached
		second := f.doInBackground(newRequest("POST", chatPath, streamBody, set))
		<-f.engine.gateReached
		close(gate)
		want := sse(completionEvents("a", "b")) + doneEvent
		assert.Equal(t, (<-first).Body.String(), want)
		assert.Equal(t, (<-second).Body.String(), want)
		assert.Equal(t, f.engine.dispatches(), 1)
		assert.Equal(t, f.home.duplicates, 0)
		f.drain(t)
	}
}

// Guards against accepting an idempotency key again for a request with another body.
func TestSameKeyWithDifferentBody(t *testing.T) {
	f := newFixture(t)
	f.chat(streamBody, withIdempotencyKey)
	assertRefused(t, f.chat(chatBody, withIdempotencyKey), verdict.NotRun, verdict.KeyReused)
	f.drain(t)
}

// Guards against cancelling a stream when its first caller disconnects while a retry is
// attached to it, and against a stream that is never settled afterwards.
func TestFirstCallerDisconnectsBeforeAttachedCaller(t *testing.T) {
	for _, bothDisconnect := range []bool{false, true} {
		f := newFixture(t)
		gate := make(chan struct{})
		f.engine.behaviors["t1"].gate = gate
		f.engine.behaviors["t1"].gateIndex = 1
		ctx, disconnect := context.WithCancel(t.Context())
		first := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey).WithContext(ctx))
		<-f.engine.gateReached
		ctx2, disconnect2 := context.WithCancel(t.Context())
		defer disconnect2()
		second := f.doInBackground(newRequest("POST", chatPath, streamBody, withIdempotencyKey).WithContext(ctx2))
		<-f.engine.gateReached
		disconnect()
		<-first
		assert.Equal(t, len(f.engine.cancelled), 0)
		assert.Equal(t, len(f.home.settled()), 0)
		if bothDisconnect {
			disconnect2()
			<-second
			assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
		} else {
			close(gate)
			assert.Equal(t, (<-second).Body.String(), sse(completionEvents("a", "b"))+doneEvent)
		}
		f.drain(t)
		assert.Equal(t, len(f.home.settled()), 1)
	}
}

// Guards against a wrong verdict, or a second run of a non-idempotent request, when the
// stream that the home returned cannot be read.
func TestAttachmentFails(t *testing.T) {
	attachFirst := func(req home.ReserveRequest) (home.ReserveReply, error) {
		if req.Attempt == 1 || req.NonIdempotent {
			return home.ReserveReply{Outcome: home.Attach, Stream: "g9.1", Target: "t2"}, nil
		}
		return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
	}
	alwaysAttach := func(home.ReserveRequest) (home.ReserveReply, error) {
		return home.ReserveReply{Outcome: home.Attach, Stream: "g9.1", Target: "t2"}, nil
	}
	unknownTarget := func(home.ReserveRequest) (home.ReserveReply, error) {
		return home.ReserveReply{Outcome: home.Attach, Stream: "g9.1", Target: "t9"}, nil
	}
	cases := []struct {
		desc         string
		reserveFunc  func(home.ReserveRequest) (home.ReserveReply, error)
		path         string
		set          setHeader
		reservations int
		dispatches   int
		refused      bool
	}{
		{"idempotent, home grants a new run", attachFirst, chatPath, withIdempotencyKey, 2, 1, false},
		{"idempotent, home returns the stream again", alwaysAttach, chatPath, withIdempotencyKey, 2, 0, true},
		{"non-idempotent", attachFirst, chatPath, nonIdempotent, 1, 0, true},
		{"non-idempotent, target unknown", unknownTarget, chatPath, nonIdempotent, 1, 0, true},
		{"idempotent, target unknown", unknownTarget, chatPath, withIdempotencyKey, 2, 0, true},
		{"plain service, non-idempotent", attachFirst, orderPath, nonIdempotent, 1, 0, true},
		{"plain service, idempotent", attachFirst, lookupPath, withIdempotencyKey, 2, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.home.reserveFunc = tc.reserveFunc
				w := f.do(newRequest("POST", tc.path, streamBody, tc.set))
				if tc.refused {
					assertRefused(t, w, verdict.MayHaveRun, verdict.ClaimHeld)
				} else if tc.path == chatPath {
					assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
				} else {
					assert.Equal(t, w.Code, http.StatusAccepted)
				}
				assert.Equal(t, len(f.home.reservations), tc.reservations)
				assert.Equal(t, f.engine.dispatches(), tc.dispatches)
				f.drain(t)
				assert.Equal(t, len(f.home.settled()), tc.dispatches, "a stream of another daemon was settled")
				f.server.Close()
			})
		})
	}
}

// Guards against failing an attachment because the first dispatch has not reached the
// target yet.
func TestAttachmentBeforeDispatchArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
			return home.ReserveReply{Outcome: home.Attach, Stream: "g9.1", Target: "t2"}, nil
		}
		result := f.doInBackground(newRequest("POST", chatPath, streamBody, nonIdempotent))
		time.Sleep(50 * time.Millisecond)
		_, err := f.engine.Open(t.Context(), engine.Call{Target: target.Target{ID: "t2"}, Stream: "g9.1"})
		assert.NilError(t, err)
		assert.Equal(t, (<-result).Body.String(), sse(completionEvents("a", "b"))+doneEvent)
		f.drain(t)
		f.server.Close()
	})
}

// Guards against a request that never ends because its target sends nothing.
func TestRequestTimeout(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.engine.behaviors["t1"].gate = make(chan struct{})
			began := time.Now()
			w := f.chat(streamBody, set)
			assertRefused(t, w, verdict.MayHaveRun, verdict.Deadline)
			assert.Equal(t, time.Since(began), DefaultRequestTimeout)
			assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
			assert.Equal(t, f.engine.dispatches(), 1)
			f.drain(t)
			f.server.Close()
		})
	}
}

// Guards against dispatching a request whose deadline passed during the reservation.
func TestDeadlinePassesBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
			time.Sleep(20 * time.Millisecond)
			return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
		}
		assertRefused(t, f.chat(streamBody, withHeader(deadlineHeader, "10")), verdict.NotRun, verdict.Deadline)
		assert.Equal(t, f.engine.dispatches(), 0)
		f.drain(t)
		assert.Equal(t, f.home.settled()[0].Outcome, home.NotDispatched)
		f.server.Close()
	})
}

// Guards against a shutdown that interrupts an open stream.
func TestShutdownWithOpenStream(t *testing.T) {
	f := newFixture(t)
	gate := make(chan struct{})
	f.engine.behaviors["t1"].gate = gate
	f.engine.behaviors["t1"].gateIndex = 1
	result := f.doInBackground(newRequest("POST", chatPath, streamBody))
	<-f.engine.gateReached
	f.server.BeginShutdown()
	assertRefused(t, f.chat(streamBody), verdict.NotRun, verdict.ShuttingDown)
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, f.server.Drain(expired), context.Canceled)
	close(gate)
	f.drain(t)
	assert.Equal(t, (<-result).Body.String(), sse(completionEvents("a", "b"))+doneEvent)
}

// Guards against a first-token latency metric that includes the target's time or omits
// the daemon's.
func TestFirstTokenLatencyExcludesTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.engine.behaviors["t1"].delay = 100 * time.Millisecond
		f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
			time.Sleep(3 * time.Millisecond)
			return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
		}
		f.chat(streamBody)
		assertMetric(t, f, "first_token_added_seconds_sum 0.003")
		f.drain(t)
		f.server.Close()
	})
}

// Guards against a disconnect over TCP that goes undetected, and against events that
// stay in a buffer until the response ends.
func TestDisconnectOverTCP(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].gate = make(chan struct{})
	f.engine.behaviors["t1"].gateIndex = 1
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = f.server.HTTPServer()
	ts.Start()
	defer ts.Close()
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ts.URL+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	response, err := ts.Client().Do(req)
	assert.NilError(t, err)
	first, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, first+"\n", sse(completionEvents("a")[:1]))
	disconnect()
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	f.drain(t)
	assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
}

// Guards against a caller that reads nothing and keeps its target occupied indefinitely.
func TestStalledCallerIsDisconnected(t *testing.T) {
	f := newFixture(t)
	f.server.opts.StallTimeout = 50 * time.Millisecond
	big := completionEvents("x")
	big[0].Data = []byte(`"` + strings.Repeat("x", 64<<10) + `"`)
	var events []engine.Event
	for i := range 4000 {
		ev := big[0]
		ev.Index, ev.Tokens = i, 0
		events = append(events, ev)
	}
	f.engine.behaviors["t1"].events = events
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = f.server.HTTPServer()
	ts.Start()
	defer ts.Close()
	req, err := http.NewRequest(http.MethodPost, ts.URL+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	response, err := ts.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	f.drain(t)
	assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
	assertMetric(t, f, `requests_total{outcome="cancelled",service="chef-llm"} 1`)
}

// Guards against a journal that omits an attempt of a retried request, or a step of it.
func TestJournalExplainsRetry(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].openErr = notRun(errDial)
	f.chat(streamBody, withIdempotencyKey)
	steps, _ := f.journal.Explain("regie", testIdempotencyKey)
	var kinds []string
	for _, s := range steps {
		kinds = append(kinds, string(s.Kind)+" "+s.Target)
	}
	assert.DeepEqual(t, kinds, []string{
		"admitted ", "target t1", "reserved t1", "failed t1", "target t2", "settled t1",
		"reserved t2", "dispatched t2", "settled t2", "completed t2",
	})
	f.drain(t)
}

// Guards against a request that fails because the write deadline of an earlier response on
// the same connection is still set.
func TestConnectionUsableAfterWriteDeadline(t *testing.T) {
	f := newFixture(t)
	f.server.opts.StallTimeout = 30 * time.Millisecond
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = f.server.HTTPServer()
	ts.Start()
	defer ts.Close()
	conn, err := net.Dial("tcp", ts.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, path := range []string{chatPath, "/v1/nothing", chatPath} {
		req := newRequest(http.MethodPost, path, streamBody)
		assert.NilError(t, req.Write(conn))
		response, err := http.ReadResponse(reader, req)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, len(body) > 0)
		time.Sleep(2 * f.server.opts.StallTimeout)
	}
}
