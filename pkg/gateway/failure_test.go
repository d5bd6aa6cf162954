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
		{desc: "idempotent, busy", err: status(verdict.NotRun, 429), verdict: verdict.NotRun, reason: verdict.Overloaded, tried: 3, outcome: home.NotDispatched},
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
				r := newFixture(t)
				for _, p := range r.engine.behaviors {
					p.openErr = tc.err
				}
				set := []setHeader{withKey}
				if tc.nonIdempotent {
					set = []setHeader{nonIdempotent}
				}
				req := newRequest(http.MethodPost, chatPath, streamBody, set...)
				if plain {
					req = newRequest(http.MethodPost, lookupPath, "", set...)
				}
				assertRefused(t, r.do(req), tc.verdict, tc.reason)
				assert.Equal(t, len(r.home.reserves), tc.tried)
				if tc.outcome == home.NotDispatched {
					assert.Equal(t, r.engine.resumes, 0)
				}
				r.drain(t)
				settles := r.home.settled()
				assert.Equal(t, len(settles), tc.tried)
				for i, s := range settles {
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
	for _, set := range []setHeader{withKey, nonIdempotent} {
		r := newFixture(t)
		r.engine.behaviors["t1"].openErr = notRun(errDial)
		w := r.chat(streamBody, set)
		assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
		assert.DeepEqual(t, r.engine.received, []string{"t2 g1.2"})
		assert.DeepEqual(t, r.picker.failed, []string{"t1"})
		assertMetric(t, r, `retries_total{reason="target_failed"} 1`)
		r.drain(t)
	}
}

// Guards against the verdict not_run after an earlier attempt that may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	cases := []struct {
		desc   string
		change func(r *fixture)
		reason verdict.Reason
	}{
		{"no further target", func(r *fixture) { r.picker.targets = r.picker.targets[:1] }, verdict.NoTarget},
		{"retry budget exhausted", func(r *fixture) { r.retries.remaining = 0 }, verdict.RetryBudget},
		{"home refuses the second attempt", func(r *fixture) {
			r.home.reserve = func(req home.ReserveRequest) (home.ReserveReply, error) {
				if req.Attempt == 1 {
					return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
				}
				return refused(verdict.New(verdict.NotRun, verdict.BudgetExhausted, "spent")), nil
			}
		}, verdict.BudgetExhausted},
		{"home unreachable for the second attempt", func(r *fixture) {
			r.home.reserve = func(req home.ReserveRequest) (home.ReserveReply, error) {
				if req.Attempt == 1 {
					return home.ReserveReply{Outcome: home.Granted, Stream: "g1.1"}, nil
				}
				return home.ReserveReply{}, errDial
			}
		}, verdict.BudgetUnreachable},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			r := newFixture(t)
			r.engine.behaviors["t1"].openErr = mayHaveRun(errReset)
			tc.change(r)
			assertRefused(t, r.chat(streamBody, withKey), verdict.MayHaveRun, tc.reason)
			r.drain(t)
			settles := r.home.settled()
			last := settles[len(settles)-1]
			assert.Equal(t, last.Stream, "g1.1")
			assert.Equal(t, last.Final, true, "the request would stay open at its home")
		})
	}
}

// Guards against a broken connection that ends a response although its target still has
// the stream, and against lost or repeated events after a resume.
func TestResumeDuringResponse(t *testing.T) {
	for _, body := range []string{streamBody, chatBody} {
		for _, set := range []setHeader{withKey, nonIdempotent} {
			r := newFixture(t)
			r.engine.behaviors["t1"].breaks = []int{1, 2}
			r.engine.behaviors["t1"].overlap = 1
			w := r.chat(body, set)
			if body == streamBody {
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
			} else {
				assert.Assert(t, strings.Contains(w.Body.String(), `"content":"ab"`))
			}
			assert.Equal(t, r.engine.resumes, 2)
			assert.Equal(t, r.engine.dispatches(), 1)
			r.drain(t)
		}
	}
}

// Guards against a truncated response that looks complete, or a second run after a part
// of the response was sent, when a target fails during the stream.
func TestTargetDiesDuringStream(t *testing.T) {
	for _, set := range []setHeader{withKey, nonIdempotent} {
		r := newFixture(t)
		r.engine.behaviors["t1"].breaks = []int{1}
		r.engine.behaviors["t1"].forgetsStreams = true
		w := r.chat(streamBody, set)
		assert.Equal(t, w.Code, http.StatusOK)
		body, found := strings.CutPrefix(w.Body.String(), sse(completionEvents("a", "b")[:1])+"event: error\ndata: ")
		assert.Assert(t, found, w.Body.String())
		var e refusalBody
		assert.NilError(t, json.Unmarshal([]byte(body), &e))
		assert.Equal(t, e.Error.Verdict, verdict.MayHaveRun)
		assert.Equal(t, e.Error.Reason, verdict.TargetFailed)
		assert.Equal(t, e.Error.RequestID, testID)
		assert.Equal(t, r.engine.dispatches(), 1)
		r.drain(t)
		settles := r.home.settled()
		assert.Equal(t, len(settles), 1)
		assert.Equal(t, settles[0].Outcome, home.Failed)
		assert.Equal(t, settles[0].TargetDied, true)
		assert.Equal(t, settles[0].Final, true)
		assert.Equal(t, len(r.engine.cancelled), 0, "a cancel was sent to a target that had failed")
	}
}

// Guards against a target that continues a stream after all resumes failed, and against
// charging the bound although the target still reports the usage.
func TestAbandonedStreamIsCancelled(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].breaks = []int{1, 1, 1}
	r.engine.behaviors["t1"].breakErr = &engine.Error{Verdict: verdict.MayHaveRun, Err: errReset}
	w := r.chat(streamBody, withKey)
	assert.Assert(t, strings.Contains(w.Body.String(), "event: error\n"))
	r.drain(t)
	assert.DeepEqual(t, r.engine.cancelled, []string{"g1.1"})
	settles := r.home.settled()
	assert.Equal(t, len(settles), 1)
	assert.Equal(t, settles[0].Outcome, home.Failed)
	assert.Equal(t, settles[0].Tokens, int64(3))
	assert.Equal(t, settles[0].UsageKnown, true)
}

// Guards against attaching to the stream of the request's own failed attempt, which the
// home returns as long as it has not processed the settlement.
func TestHomeReturnsOwnFailedStream(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].openErr = notRun(errDial)
	r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
		return home.SettleReply{}, errDial
	}
	assertRefused(t, r.chat(streamBody, nonIdempotent), verdict.NotRun, verdict.BudgetUnreachable)
	assert.Equal(t, r.engine.resumes, 0)
	r.home.mu.Lock()
	r.home.settle = nil
	r.home.mu.Unlock()
	r.drain(t)
	settles := r.home.settled()
	assert.Equal(t, settles[len(settles)-1].Final, true)
}

// Guards against a refusal when a target fails while an unstreamed response is being
// collected and a retry is possible, and against mixing the chunks of two targets.
func TestTargetDiesDuringObjectResponse(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].events = completionEvents("wrong", "x")
	r.engine.behaviors["t1"].breaks = []int{1}
	r.engine.behaviors["t1"].forgetsStreams = true
	w := r.chat(chatBody, withKey)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"content":"ab"`), w.Body.String())
	r.drain(t)

	r = newFixture(t)
	r.engine.behaviors["t1"].breaks = []int{1}
	r.engine.behaviors["t1"].forgetsStreams = true
	assertRefused(t, r.chat(chatBody, nonIdempotent), verdict.MayHaveRun, verdict.TargetFailed)
	assert.Equal(t, r.engine.dispatches(), 1)
	r.drain(t)
}

// Guards against dropping the last event when the target fails after sending it and
// before the settlement.
func TestTargetDiesAfterLastEvent(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].breaks = []int{3}
	r.engine.behaviors["t1"].forgetsStreams = true
	w := r.chat(streamBody, nonIdempotent)
	assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
	r.drain(t)
}

// Guards against treating a stream without its last event as complete.
func TestStreamWithoutLastEvent(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].events = completionEvents("a", "b")[:2]
	w := r.chat(streamBody, withKey)
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"may_have_run"`))
	r.drain(t)
}

// Guards against sending the caller a stream in which an event is missing.
func TestMissingEvent(t *testing.T) {
	r := newFixture(t)
	events := completionEvents("a", "b", "c")
	r.engine.behaviors["t1"].events = append(events[:1:1], events[2:]...)
	w := r.chat(streamBody, withKey)
	assert.Assert(t, strings.HasPrefix(w.Body.String(), sse(events[:1])+"event: error\n"))
	r.drain(t)
}

// Guards against a second dispatch when the target accepted the first and only its reply
// was lost.
func TestLostReplyToDispatch(t *testing.T) {
	for _, set := range []setHeader{withKey, nonIdempotent} {
		r := newFixture(t)
		r.engine.behaviors["t1"].openErr = mayHaveRun(errReset)
		r.engine.behaviors["t1"].runsDespiteError = true
		w := r.chat(streamBody, set)
		assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
		assert.Equal(t, r.engine.dispatches(), 1)
		r.drain(t)
	}
}

// Guards against forwarding a response status that net/http cannot send.
func TestPlainResponseWithInvalidStatus(t *testing.T) {
	r := newFixture(t)
	r.engine.behaviors["t1"].plainResponse.Status = 0
	w := r.do(newRequest(http.MethodPost, orderPath, "", withKey))
	assertRefused(t, w, verdict.MayHaveRun, verdict.TargetFailed)
	r.drain(t)
}

// Guards against excluding a target because its queue is full, since a few full queues
// would then leave no target. A target that responds with 503 must be excluded, since it
// may be shutting down.
func TestFullQueueIsNotTargetFault(t *testing.T) {
	cases := []struct {
		code   int
		blamed []string
	}{
		{http.StatusTooManyRequests, nil},
		{http.StatusServiceUnavailable, []string{"t1"}},
	}
	for _, tc := range cases {
		r := newFixture(t)
		r.engine.behaviors["t1"].openErr = &engine.Error{Verdict: verdict.NotRun, Status: tc.code, Err: errors.New("refused")}
		w := r.chat(streamBody)
		assert.Equal(t, w.Code, http.StatusOK)
		assert.DeepEqual(t, r.picker.failed, tc.blamed)
		r.drain(t)
	}
}
