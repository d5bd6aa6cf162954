package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// script is one request of an interleaving.
type scriptedRequest struct {
	key             int
	arrival         time.Duration // arrival
	disconnectAfter time.Duration // after the arrival; 0: stays
}

// outcome is what a caller saw.
type outcome struct {
	id           string
	received     int // dispatches to targets that the verdict covers
	streamed     bool
	disconnected bool
	recorder     *httptest.ResponseRecorder
}

// drawPlan returns the behaviour of one target.
func drawTargetBehavior(t *rapid.T, id string) *behavior {
	p := &behavior{
		events:         answer("a", "b", "c"),
		answer:         plainResponse(),
		delay:          time.Duration(rapid.IntRange(0, 40).Draw(t, id+" delay ms")) * time.Millisecond,
		breaks:         rapid.SliceOfN(rapid.IntRange(-1, 4), 0, 4).Draw(t, id+" breaks"),
		overlap:        rapid.IntRange(0, 2).Draw(t, id+" overlap"),
		forgetsStreams: rapid.Bool().Draw(t, id+" forgets"),
	}
	switch rapid.IntRange(0, 7).Draw(t, id+" open") {
	case 0:
		p.openErr = notRun(errDial)
	case 1:
		p.openErr = mayHaveRun(errReset)
	case 2:
		p.openErr = mayHaveRun(errReset)
		p.runsDespiteError = true
	case 3:
		p.openErr = &engine.Error{Verdict: verdict.NotRun, Status: 503, Err: errDial}
	}
	return p
}

// world is everything that an interleaving depends on.
type scenario struct {
	behaviors   map[string]*behavior
	outage      time.Duration // the home settles nothing for this long
	unreachable bool          // in the outage the home fails at once instead of waiting for the store
	retries     int
	kinds       []int // kind of request by key
	requests    []scriptedRequest
}

// drawWorld returns the inputs of one interleaving.
func drawScenario(t *rapid.T) scenario {
	w := scenario{
		behaviors:   make(map[string]*behavior),
		outage:      time.Duration(rapid.IntRange(0, 3000).Draw(t, "outage ms")) * time.Millisecond,
		unreachable: rapid.Bool().Draw(t, "home unreachable in the outage"),
		retries:     rapid.IntRange(0, 6).Draw(t, "retries"),
		kinds:       rapid.SliceOfN(rapid.IntRange(0, 5), 3, 3).Draw(t, "kind by key"),
	}
	for _, id := range []string{"t1", "t2", "t3"} {
		w.behaviors[id] = drawTargetBehavior(t, id)
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
		w.requests = append(w.requests, scriptedRequest{
			key:             rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("key %d", i)),
			arrival:         time.Duration(rapid.IntRange(0, 300).Draw(t, fmt.Sprintf("at %d ms", i))) * time.Millisecond,
			disconnectAfter: time.Duration(rapid.IntRange(0, 120).Draw(t, fmt.Sprintf("leaves %d ms", i))) * time.Millisecond,
		})
	}
	return w
}

// settle returns a home that is without the store for a while from now.
func (w scenario) settle() func(context.Context, home.SettleRequest) (home.SettleReply, error) {
	end := time.Now().Add(w.outage)
	return func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
		switch {
		case !time.Now().Before(end):
			return home.SettleReply{Durable: true}, nil
		case w.unreachable:
			return home.SettleReply{}, errDial
		}
		<-ctx.Done()
		return home.SettleReply{}, nil
	}
}

// Guards against a not_run refusal of a request that a target received, a
// second run of a non-idempotent request, a changed or truncated answer that
// looks whole, an answer without a bill line, and a reservation that is never
// settled. An idempotent request may run twice; its home keeps one line.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawScenario(rt)
		var r *fixture
		var outcomes []outcome
		// rapid's T must not be used in the bubble, so the checks follow it.
		synctest.Test(t, func(t *testing.T) {
			r = newFixture(t)
			outcomes = r.runScenario(w)
			r.drain(t)
			r.server.Close()
		})
		checkOutcomes(rt, r, outcomes)
		checkSettled(rt, r)
	})
}

// play runs the scripts and returns what the callers saw.
func (r *fixture) runScenario(w scenario) []outcome {
	r.engine.behaviors = w.behaviors
	r.home.settle = w.settle()
	r.retries.left = w.retries
	outcomes := make([]outcome, len(w.requests))
	var wg sync.WaitGroup
	for i, s := range w.requests {
		wg.Go(func() {
			time.Sleep(s.arrival)
			outcomes[i] = r.runRequest(i, s, w.kinds[s.key])
		})
	}
	wg.Wait()
	return outcomes
}

// playOne sends one request. Its kind is a completion, streamed or not, or a
// plain call, each idempotent or not. A verdict covers one submission of an
// idempotent request, and all submissions with the key of a non-idempotent one.
func (r *fixture) runRequest(number int, s scriptedRequest, kind int) outcome {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), submissionKey{}, number))
	defer cancel()
	if s.disconnectAfter > 0 {
		time.AfterFunc(s.disconnectAfter, cancel)
	}
	o := outcome{id: fmt.Sprintf("key-%d", s.key), streamed: kind%3 == 0}
	set := []setHeader{withHeader(idempotencyKeyHeader, o.id)}
	var submission any = number
	if kind >= 3 {
		submission = nil
		set = append(set, withHeader(nonIdempotentHeader, "true"))
	}
	req := newRequest("POST", chatPath, streamBody, set...)
	switch kind % 3 {
	case 1:
		req = newRequest("POST", chatPath, chatBody, set...)
	case 2:
		req = newRequest("POST", lookupPath, "", set...)
	}
	o.recorder = r.do(req.WithContext(ctx))
	o.disconnected = ctx.Err() != nil
	o.received = r.receivedFor(o.id, submission)
	return o
}

// receivedFor counts the dispatches of a request that reached a target.
func (r *fixture) receivedFor(id string, submission any) int {
	streams := r.home.streamsOf(id, submission)
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	n := 0
	for _, entry := range r.engine.received {
		_, stream, _ := strings.Cut(entry, " ")
		if slices.Contains(streams, stream) {
			n++
		}
	}
	return n
}

// checkOutcomes compares what callers saw with what targets received.
func checkOutcomes(t *rapid.T, r *fixture, outcomes []outcome) {
	for _, o := range outcomes {
		body := o.recorder.Body.String()
		if strings.Contains(body, `"verdict":"not_run"`) {
			assert.Equal(t, o.received, 0, "%s: not_run after a dispatch", o.id)
		}
		whole := strings.HasSuffix(body, doneEvent)
		switch {
		case whole:
			assert.Equal(t, body, sse(answer("a", "b", "c"))+doneEvent)
		case o.streamed && o.recorder.Code == 200 && !o.disconnected:
			assert.Assert(t, strings.Contains(body, "event: error\n"), "an end without a reason: %q", body)
		case o.recorder.Code == plainResponse().Status:
			whole = true
			assert.Equal(t, body, string(plainResponse().Body))
		case !o.streamed && o.recorder.Code == 200 && !o.disconnected:
			whole = true
			assert.Assert(t, json.Valid(o.recorder.Body.Bytes()) && strings.Contains(body, `"content":"abc"`), body)
		}
		if whole {
			_, billed := r.home.billLine(o.id)
			assert.Assert(t, billed, "%s: answered without a bill line", o.id)
		}
	}
}

// checkSettled checks the records of the home.
func checkSettled(t *rapid.T, r *fixture) {
	assert.Equal(t, r.home.duplicates, 0)
	for id, claimed := range r.home.claims {
		if claimed {
			assert.Assert(t, r.receivedFor(id, nil) <= 1, "%s: a non-idempotent request reached %v", id, r.engine.received)
		}
	}
	settled := make(map[string]home.SettleRequest)
	final := make(map[string]bool)
	for _, s := range r.home.settled() {
		settled[s.Stream] = s
		final[s.Request] = final[s.Request] || s.Final
		assert.Assert(t, s.Tokens >= 0 && s.Tokens <= s.Bound)
		if s.Outcome == home.NotDispatched {
			assert.Assert(t, !slices.Contains(receivedStreams(r), s.Stream), "%s was dispatched", s.Stream)
		}
	}
	for id, streams := range r.home.granted {
		for _, stream := range streams {
			_, ok := settled[stream]
			assert.Assert(t, ok, "%s of %s was never settled", stream, id)
		}
		assert.Assert(t, final[id], "%s stays open at its home", id)
	}
}

func receivedStreams(r *fixture) []string {
	var streams []string
	for _, entry := range r.engine.received {
		_, stream, _ := strings.Cut(entry, " ")
		streams = append(streams, stream)
	}
	return streams
}
