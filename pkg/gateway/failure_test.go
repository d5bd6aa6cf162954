package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

var errDial = errors.New("connection refused")

// Guards against a wrong verdict, a second dispatch of a non-idempotent request or a
// wrong settlement, for each way in which a target fails before the response begins.
func TestFailureBeforeResponse(t *testing.T) {
	status := func(v verdict.Verdict, code int) error {
		return &engine.Error{Verdict: v, Status: code, Err: errors.New("refused")}
	}
	cases := []struct {
		desc          string
		nonIdempotent bool
		err           error // error returned by every target
		verdict       verdict.Verdict
		reason        verdict.Reason
		tried         int // number of targets that a dispatch was attempted at
		outcome       home.AttemptOutcome
		targetDied    bool
	}{
		{desc: "idempotent, connection refused", err: notRun(errDial), verdict: verdict.NotRun, reason: verdict.TargetFailed, tried: 3, outcome: home.NotDispatched},
		{desc: "idempotent, target died", err: mayHaveRun(errReset), verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, tried: 3, outcome: home.Failed, targetDied: true},
		{desc: "idempotent, queue full", err: status(verdict.NotRun, 429), verdict: verdict.NotRun, reason: verdict.Overloaded, tried: 3, outcome: home.NotDispatched},
		{desc: "idempotent, body refused", err: status(verdict.NotRun, 400), verdict: verdict.NotRun, reason: verdict.BadRequest, tried: 1, outcome: home.NotDispatched},
		{desc: "idempotent, error without verdict", err: errReset, verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, tried: 3, outcome: home.Failed},
		{desc: "non-idempotent, connection refused", nonIdempotent: true, err: notRun(errDial), verdict: verdict.NotRun, reason: verdict.TargetFailed, tried: 3, outcome: home.NotDispatched},
		{desc: "non-idempotent, target died", nonIdempotent: true, err: mayHaveRun(errReset), verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, tried: 1, outcome: home.Failed, targetDied: true},
		{desc: "non-idempotent, error without verdict", nonIdempotent: true, err: errReset, verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, tried: 1, outcome: home.Failed},
		{desc: "non-idempotent, internal error", nonIdempotent: true, err: status(verdict.MayHaveRun, 500), verdict: verdict.MayHaveRun, reason: verdict.TargetFailed, tried: 1, outcome: home.Failed},
	}
	for _, tc := range cases {
		for _, plain := range []bool{false, true} {
			t.Run(tc.desc+map[bool]string{false: ", completion", true: ", plain"}[plain], func(t *testing.T) {
				f := newFixture(t)
				for _, b := range f.engine.behaviors {
					b.openErr = tc.err
				}
				set := []setHeader{withIdempotencyKey}
				if tc.nonIdempotent {
					set = []setHeader{nonIdempotent}
				}
				req := newRequest(http.MethodPost, chatPath, streamBody, set...)
				if plain {
					req = newRequest(http.MethodPost, lookupPath, "", set...)
				}
				assertRefused(t, f.do(req), tc.verdict, tc.reason)
				assert.Equal(t, len(f.home.reservations), tc.tried)
				if tc.outcome == home.NotDispatched {
					assert.Equal(t, f.engine.resumes, 0)
				}
				f.drain(t)
				settlements := f.home.settled()
				assert.Equal(t, len(settlements), tc.tried)
				for i, s := range settlements {
					assert.Equal(t, s.Outcome, tc.outcome)
					assert.Equal(t, s.TargetDied, tc.targetDied)
					assert.Equal(t, s.Final, i == tc.tried-1)
					assert.Equal(t, s.Tokens == s.Bound, tc.outcome == home.Failed)
				}
			})
		}
	}
}

// Guards against a refused connection that ends a request although another target is
// available.
func TestNextTargetIsTried(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		f := newFixture(t)
		f.engine.behaviors["t1"].openErr = notRun(errDial)
		w := f.chat(streamBody, set)
		assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
		assert.DeepEqual(t, f.engine.received, []string{"t2 g1.2"})
		assert.DeepEqual(t, f.picker.failed, []string{"t1"})
		assertMetric(t, f, `retries_total{reason="target_failed"} 1`)
		f.drain(t)
	}
}

// Guards against the verdict not_run after an earlier attempt that may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	cases := []struct {
		desc   string
		change func(f *fixture)
		reason verdict.Reason
	}{
		{"no further target", func(f *fixture) { f.picker.targets = f.picker.targets[:1] }, verdict.NoTarget},
		{"retry budget exhausted", func(f *fixture) { f.retries.remaining = 0 }, verdict.RetryBudget},
		{"home refuses the second attempt", func(f *fixture) {
			f.home.reserveFunc = func(req home.ReserveRequest) (home.ReserveReply, error) {
				if req.Attempt == 1 {
					return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
				}
				return refused(verdict.New(verdict.NotRun, verdict.BudgetExhausted, "spent")), nil
			}
		}, verdict.BudgetExhausted},
		{"home unreachable for the second attempt", func(f *fixture) {
			f.home.reserveFunc = func(req home.ReserveRequest) (home.ReserveReply, error) {
				if req.Attempt == 1 {
					return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
				}
				return home.ReserveReply{}, errDial
			}
		}, verdict.BudgetUnreachable},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(t)
			f.engine.behaviors["t1"].openErr = mayHaveRun(errReset)
			tc.change(f)
			assertRefused(t, f.chat(streamBody, withIdempotencyKey), verdict.MayHaveRun, tc.reason)
			f.drain(t)
			settlements := f.home.settled()
			last := settlements[len(settlements)-1]
			assert.Equal(t, last.Stream, "g1.1")
			assert.Equal(t, last.Final, true, "the last settlement is not final; the request would stay open at its home")
		})
	}
}

// Guards against a broken connection that ends a response although its target still has
// the stream, and against lost or repeated events after a resume.
func TestResumeDuringResponse(t *testing.T) {
	for _, body := range []string{streamBody, chatBody} {
		for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
			f := newFixture(t)
			f.engine.behaviors["t1"].breaks = []int{1, 2}
			f.engine.behaviors["t1"].overlap = 1
			w := f.chat(body, set)
			if body == streamBody {
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
			} else {
				assert.Assert(t, strings.Contains(w.Body.String(), `"content":"ab"`))
			}
			assert.Equal(t, f.engine.resumes, 2)
			assert.Equal(t, f.engine.dispatches(), 1)
			f.drain(t)
		}
	}
}

// Guards against a truncated response that looks complete, or a second run after a part
// of the response was sent, when a target fails during the stream.
func TestTargetDiesDuringStream(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		f := newFixture(t)
		f.engine.behaviors["t1"].breaks = []int{1}
		f.engine.behaviors["t1"].dropsStreams = true
		w := f.chat(streamBody, set)
		assert.Equal(t, w.Code, http.StatusOK)
		body, found := strings.CutPrefix(w.Body.String(), sse(completionEvents("a", "b")[:1])+"event: error\ndata: ")
		assert.Assert(t, found, w.Body.String())
		var e refusalBody
		assert.NilError(t, json.Unmarshal([]byte(body), &e))
		assert.Equal(t, e.Error.Verdict, verdict.MayHaveRun)
		assert.Equal(t, e.Error.Reason, verdict.TargetFailed)
		assert.Equal(t, e.Error.RequestID, testIdempotencyKey)
		assert.Equal(t, f.engine.dispatches(), 1)
		f.drain(t)
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 1)
		assert.Equal(t, settlements[0].Outcome, home.Failed)
		assert.Equal(t, settlements[0].TargetDied, true)
		assert.Equal(t, settlements[0].Final, true)
		assert.Equal(t, len(f.engine.cancelled), 0, "a cancel was sent to a target that had failed")
	}
}

// Guards against a target that continues a stream after all resumes failed, and against
// charging the bound although the target still reports the usage.
func TestAbandonedStreamIsCancelled(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].breaks = []int{1, 1, 1}
	f.engine.behaviors["t1"].breakErr = &engine.Error{Verdict: verdict.MayHaveRun, Err: errReset}
	w := f.chat(streamBody, withIdempotencyKey)
	assert.Assert(t, strings.Contains(w.Body.String(), "event: error\n"))
	f.drain(t)
	assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
	settlements := f.home.settled()
	assert.Equal(t, len(settlements), 1)
	assert.Equal(t, settlements[0].Outcome, home.Failed)
	assert.Equal(t, settlements[0].Tokens, int64(3))
	assert.Equal(t, settlements[0].UsageKnown, true)
}

// Guards against attaching to the stream of the request's own failed attempt, which the
// home returns as long as it has not processed the settlement.
func TestHomeReturnsOwnFailedStream(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].openErr = notRun(errDial)
	f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
		return home.SettleReply{}, errDial
	}
	assertRefused(t, f.chat(streamBody, nonIdempotent), verdict.NotRun, verdict.BudgetUnreachable)
	assert.Equal(t, f.engine.resumes, 0)
	f.home.mu.Lock()
	f.home.settleFunc = nil
	f.home.mu.Unlock()
	f.drain(t)
	settlements := f.home.settled()
	assert.Equal(t, settlements[len(settlements)-1].Final, true)
}

// Guards against a refusal when a target fails while an unstreamed response is being
// collected and a retry is possible, and against mixing the chunks of two targets.
func TestTargetDiesDuringObjectResponse(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].events = completionEvents("wrong", "x")
	f.engine.behaviors["t1"].breaks = []int{1}
	f.engine.behaviors["t1"].dropsStreams = true
	w := f.chat(chatBody, withIdempotencyKey)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"content":"ab"`), w.Body.String())
	f.drain(t)

	f = newFixture(t)
	f.engine.behaviors["t1"].breaks = []int{1}
	f.engine.behaviors["t1"].dropsStreams = true
	assertRefused(t, f.chat(chatBody, nonIdempotent), verdict.MayHaveRun, verdict.TargetFailed)
	assert.Equal(t, f.engine.dispatches(), 1)
	f.drain(t)
}

// Guards against dropping the last event when the target fails after sending it and
// before the settlement.
func TestTargetDiesAfterLastEvent(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].breaks = []int{3}
	f.engine.behaviors["t1"].dropsStreams = true
	w := f.chat(streamBody, nonIdempotent)
	assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
	f.drain(t)
}

// Guards against treating a stream without its last event as complete.
func TestStreamWithoutLastEvent(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].events = completionEvents("a", "b")[:2]
	w := f.chat(streamBody, withIdempotencyKey)
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"may_have_run"`))
	f.drain(t)
}

// Guards against sending the caller a stream in which an event is missing.
func TestMissingEvent(t *testing.T) {
	f := newFixture(t)
	events := completionEvents("a", "b", "c")
	f.engine.behaviors["t1"].events = append(events[:1:1], events[2:]...)
	w := f.chat(streamBody, withIdempotencyKey)
	assert.Assert(t, strings.HasPrefix(w.Body.String(), sse(events[:1])+"event: error\n"))
	f.drain(t)
}

// Guards against a second dispatch when the target accepted the first and only its reply
// was lost.
func TestLostReplyToDispatch(t *testing.T) {
	for _, set := range []setHeader{withIdempotencyKey, nonIdempotent} {
		f := newFixture(t)
		f.engine.behaviors["t1"].openErr = mayHaveRun(errReset)
		f.engine.behaviors["t1"].runsDespiteError = true
		w := f.chat(streamBody, set)
		assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
		assert.Equal(t, f.engine.dispatches(), 1)
		f.drain(t)
	}
}

// Guards against forwarding a response status that net/http cannot send.
func TestPlainResponseWithInvalidStatus(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].plainResponse.Status = 0
	w := f.do(newRequest(http.MethodPost, orderPath, "", withIdempotencyKey))
	assertRefused(t, w, verdict.MayHaveRun, verdict.TargetFailed)
	f.drain(t)
}

// Guards against excluding a target because its queue is full, since a few full queues
// would then leave no target. A target that responds with 503 must be excluded, since it
// may be shutting down.
func TestFullQueueIsNotTargetFault(t *testing.T) {
	cases := []struct {
		code       int
		wantFailed []string
	}{
		{http.StatusTooManyRequests, nil},
		{http.StatusServiceUnavailable, []string{"t1"}},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.engine.behaviors["t1"].openErr = &engine.Error{Verdict: verdict.NotRun, Status: tc.code, Err: errors.New("refused")}
		w := f.chat(streamBody)
		assert.Equal(t, w.Code, http.StatusOK)
		assert.DeepEqual(t, f.picker.failed, tc.wantFailed)
		f.drain(t)
	}
}
