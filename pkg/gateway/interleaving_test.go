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

// scriptedRequest is one request of a scenario.
type scriptedRequest struct {
	key             int           // number of the idempotency key
	arrival         time.Duration // time after the start of the scenario
	disconnectAfter time.Duration // time from arrival to disconnect; 0 if the caller stays connected
}

// outcome is the result of one request as its caller observed it.
type outcome struct {
	id           string
	received     int // number of dispatches that reached a target, counted over the submissions that the verdict covers; see runRequest
	streamed     bool
	disconnected bool
	recorder     *httptest.ResponseRecorder
}

// drawTargetBehavior generates the behavior of one target.
func drawTargetBehavior(t *rapid.T, id string) *behavior {
	b := &behavior{
		events:        completionEvents("a", "b", "c"),
		plainResponse: plainResponse(),
		delay:         time.Duration(rapid.IntRange(0, 40).Draw(t, id+" delay ms")) * time.Millisecond,
		breaks:        rapid.SliceOfN(rapid.IntRange(-1, 4), 0, 4).Draw(t, id+" breaks"),
		overlap:       rapid.IntRange(0, 2).Draw(t, id+" overlap"),
		dropsStreams:  rapid.Bool().Draw(t, id+" drops streams"),
	}
	switch rapid.IntRange(0, 7).Draw(t, id+" open") {
	case 0:
		b.openErr = notRun(errDial)
	case 1:
		b.openErr = mayHaveRun(errReset)
	case 2:
		b.openErr = mayHaveRun(errReset)
		b.runsDespiteError = true
	case 3:
		b.openErr = &engine.Error{Verdict: verdict.NotRun, Status: 503, Err: errDial}
	}
	return b
}

// scenario holds the generated inputs of one test run.
type scenario struct {
	behaviors   map[string]*behavior
	outage      time.Duration // time from the start during which the home settles nothing
	unreachable bool          // whether the home fails immediately during the outage instead of waiting for the table
	retries     int           // number of retries that the retry budget allows
	kinds       []int         // kind of request, by key; see runRequest
	requests    []scriptedRequest
}

// drawScenario generates a scenario.
func drawScenario(t *rapid.T) scenario {
	sc := scenario{
		behaviors:   make(map[string]*behavior),
		outage:      time.Duration(rapid.IntRange(0, 3000).Draw(t, "outage ms")) * time.Millisecond,
		unreachable: rapid.Bool().Draw(t, "home unreachable during outage"),
		retries:     rapid.IntRange(0, 6).Draw(t, "retries"),
		kinds:       rapid.SliceOfN(rapid.IntRange(0, 5), 3, 3).Draw(t, "kind by key"),
	}
	for _, id := range []string{"t1", "t2", "t3"} {
		sc.behaviors[id] = drawTargetBehavior(t, id)
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
		sc.requests = append(sc.requests, scriptedRequest{
			key:             rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("key %d", i)),
			arrival:         time.Duration(rapid.IntRange(0, 300).Draw(t, fmt.Sprintf("arrival %d ms", i))) * time.Millisecond,
			disconnectAfter: time.Duration(rapid.IntRange(0, 120).Draw(t, fmt.Sprintf("disconnect %d ms", i))) * time.Millisecond,
		})
	}
	return sc
}

// settleFunc returns the settleFunc of a fakeHome that makes no settlement durable from
// now until the outage ends.
func (sc scenario) settleFunc() func(context.Context, home.SettleRequest) (home.SettleReply, error) {
	end := time.Now().Add(sc.outage)
	return func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
		switch {
		case !time.Now().Before(end):
			return home.SettleReply{Durable: true}, nil
		case sc.unreachable:
			return home.SettleReply{}, errDial
		}
		<-ctx.Done()
		return home.SettleReply{}, nil
	}
}

// Guards against the following faults in random interleavings of requests, target
// failures and outages of the home: a not_run refusal of a request that a target
// received, a second run of a non-idempotent request, a changed or truncated response
// that looks complete, a response without a bill line, and a reservation that is never
// settled. An idempotent request may run twice; its home keeps one bill line.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		var f *fixture
		var outcomes []outcome
		// rapid.T must not be used inside the synctest bubble, so the checks run after it.
		synctest.Test(t, func(t *testing.T) {
			f = newFixture(t)
			outcomes = f.runScenario(sc)
			f.drain(t)
			f.server.Close()
		})
		checkOutcomes(rt, f, outcomes)
		checkSettlements(rt, f)
	})
}

// runScenario sends the requests of a scenario and returns their outcomes.
func (f *fixture) runScenario(sc scenario) []outcome {
	f.engine.behaviors = sc.behaviors
	f.home.settleFunc = sc.settleFunc()
	f.retries.remaining = sc.retries
	outcomes := make([]outcome, len(sc.requests))
	var wg sync.WaitGroup
	for i, s := range sc.requests {
		wg.Go(func() {
			time.Sleep(s.arrival)
			outcomes[i] = f.runRequest(i, s, sc.kinds[s.key])
		})
	}
	wg.Wait()
	return outcomes
}

// runRequest sends one request. Kind modulo 3 selects a streamed completion, an
// unstreamed completion or a call to a plain service. Kinds from 3 are non-idempotent.
// A verdict covers one submission of an idempotent request, but all submissions of a
// non-idempotent request with the same key.
func (f *fixture) runRequest(number int, s scriptedRequest, kind int) outcome {
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
	o.recorder = f.do(req.WithContext(ctx))
	o.disconnected = ctx.Err() != nil
	o.received = f.receivedFor(o.id, submission)
	return o
}

// receivedFor returns the number of dispatches of a request that reached a target. If
// submission is not nil, it counts only the dispatches of that submission.
func (f *fixture) receivedFor(id string, submission any) int {
	streams := f.home.streamsOf(id, submission)
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	n := 0
	for _, entry := range f.engine.received {
		_, stream, _ := strings.Cut(entry, " ")
		if slices.Contains(streams, stream) {
			n++
		}
	}
	return n
}

// checkOutcomes checks the responses and verdicts against what targets received and what
// the home billed.
func checkOutcomes(t *rapid.T, f *fixture, outcomes []outcome) {
	for _, o := range outcomes {
		body := o.recorder.Body.String()
		if strings.Contains(body, `"verdict":"not_run"`) {
			assert.Equal(t, o.received, 0, "%s: not_run after a dispatch", o.id)
		}
		complete := strings.HasSuffix(body, doneEvent)
		switch {
		case complete:
			assert.Equal(t, body, sse(completionEvents("a", "b", "c"))+doneEvent)
		case o.streamed && o.recorder.Code == 200 && !o.disconnected:
			assert.Assert(t, strings.Contains(body, "event: error\n"), "the stream ended without a last event or an error: %q", body)
		case o.recorder.Code == plainResponse().Status:
			complete = true
			assert.Equal(t, body, string(plainResponse().Body))
		case !o.streamed && o.recorder.Code == 200 && !o.disconnected:
			complete = true
			assert.Assert(t, json.Valid(o.recorder.Body.Bytes()) && strings.Contains(body, `"content":"abc"`), body)
		}
		if complete {
			_, billed := f.home.billLine(o.id)
			assert.Assert(t, billed, "%s: response sent without a bill line", o.id)
		}
	}
}

// checkSettlements checks the settlements that the home received.
func checkSettlements(t *rapid.T, f *fixture) {
	assert.Equal(t, f.home.duplicates, 0)
	for id, claimed := range f.home.claims {
		if claimed {
			assert.Assert(t, f.receivedFor(id, nil) <= 1, "%s: a non-idempotent request was dispatched more than once; dispatches of all requests: %v", id, f.engine.received)
		}
	}
	settled := make(map[string]home.SettleRequest)
	final := make(map[string]bool)
	for _, s := range f.home.settled() {
		settled[s.Stream] = s
		final[s.Request] = final[s.Request] || s.Final
		assert.Assert(t, s.Tokens >= 0 && s.Tokens <= s.Bound)
		if s.Outcome == home.NotDispatched {
			assert.Assert(t, !slices.Contains(receivedStreams(f), s.Stream), "stream %s was settled as not dispatched but reached a target", s.Stream)
		}
	}
	for id, streams := range f.home.granted {
		for _, stream := range streams {
			_, ok := settled[stream]
			assert.Assert(t, ok, "stream %s of request %s was never settled", stream, id)
		}
		assert.Assert(t, final[id], "request %s has no final settlement", id)
	}
}

func receivedStreams(f *fixture) []string {
	var streams []string
	for _, entry := range f.engine.received {
		_, stream, _ := strings.Cut(entry, " ")
		streams = append(streams, stream)
	}
	return streams
}
