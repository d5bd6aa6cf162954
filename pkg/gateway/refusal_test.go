package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// Guards against admitting a request that cannot be billed or whose retry would not be
// recognised, and against a wrong verdict or status of a refusal.
func TestAdmissionRefusals(t *testing.T) {
	cases := []struct {
		desc        string
		method      string
		path        string
		body        string
		set         []setHeader
		reason      verdict.Reason
		wantMessage string
	}{
		{desc: "no API key", set: []setHeader{func(h http.Header) { h.Del("Authorization") }}, reason: verdict.Unauthorized, wantMessage: "Authorization"},
		{desc: "another scheme", set: []setHeader{withHeader("Authorization", "Basic abc")}, reason: verdict.Unauthorized},
		{desc: "empty bearer", set: []setHeader{withHeader("Authorization", "Bearer ")}, reason: verdict.Unauthorized},
		{desc: "unknown API key", set: []setHeader{withHeader("Authorization", "Bearer sk-other")}, reason: verdict.UnknownCustomer},
		{desc: "budget of another customer", set: []setHeader{withHeader(budgetHeader, "office-main")}, reason: verdict.UnknownBudget, wantMessage: "office-main"},
		{desc: "unknown model", body: `{"model":"none","messages":[{"role":"user","content":"x"}]}`, reason: verdict.UnknownModel, wantMessage: "none"},
		{desc: "model not permitted", body: `{"model":"other","messages":[{"role":"user","content":"x"}]}`, reason: verdict.UnknownModel},
		{desc: "unknown service", method: http.MethodGet, path: "/v1/services/none/x", reason: verdict.UnknownService, wantMessage: "none"},
		{desc: "model service called as a plain service", method: http.MethodGet, path: "/v1/services/chef-llm/x", reason: verdict.UnknownService},
		{desc: "path with a parent segment", method: http.MethodPost, path: "/v1/services/cantine/menu/../orders", reason: verdict.BadRequest, wantMessage: "path"},
		{desc: "path with an encoded parent segment", method: http.MethodPost, path: "/v1/services/cantine/menu/%2e%2e/orders", reason: verdict.BadRequest, wantMessage: "path"},
		{desc: "path with an encoded slash", method: http.MethodPost, path: "/v1/services/cantine/menu%2forders", reason: verdict.BadRequest, wantMessage: "path"},
		{desc: "path with an empty segment", method: http.MethodPost, path: "/v1/services/cantine//orders", reason: verdict.BadRequest, wantMessage: "path"},
		{desc: "non-idempotent path without idempotency key", method: http.MethodPost, path: orderPath, reason: verdict.BadRequest, wantMessage: idempotencyKeyHeader},
		{desc: "non-idempotent path, encoded, without idempotency key", method: http.MethodPost, path: "/v1/services/cantine/%6frders", reason: verdict.BadRequest, wantMessage: idempotencyKeyHeader},
		{desc: "non-idempotent without idempotency key", set: []setHeader{withHeader(nonIdempotentHeader, "true")}, reason: verdict.BadRequest, wantMessage: idempotencyKeyHeader},
		{desc: "non-idempotent header with another value", set: []setHeader{withHeader(nonIdempotentHeader, "yes")}, reason: verdict.BadRequest, wantMessage: `"yes": allowed: true or false`},
		{desc: "misspelt header", set: []setHeader{withHeader("X-Peppertrail-Nonidempotent", "true")}, reason: verdict.BadRequest, wantMessage: "Nonidempotent"},
		{desc: "idempotency key with a slash", set: []setHeader{withHeader(idempotencyKeyHeader, "a/b")}, reason: verdict.BadRequest, wantMessage: `"a/b"`},
		{desc: "idempotency key of 129 characters", set: []setHeader{withHeader(idempotencyKeyHeader, strings.Repeat("k", 129))}, reason: verdict.BadRequest, wantMessage: "1 to 128"},
		{desc: "two idempotency keys", set: []setHeader{func(h http.Header) { h[idempotencyKeyHeader] = []string{"a", "b"} }}, reason: verdict.BadRequest, wantMessage: "a, b"},
		{desc: "priority of 10", set: []setHeader{withHeader(priorityHeader, "10")}, reason: verdict.BadRequest, wantMessage: `"10": allowed: a whole number from 0 to 9`},
		{desc: "negative priority", set: []setHeader{withHeader(priorityHeader, "-1")}, reason: verdict.BadRequest, wantMessage: priorityHeader},
		{desc: "deadline of zero", set: []setHeader{withHeader(deadlineHeader, "0")}, reason: verdict.BadRequest, wantMessage: deadlineHeader},
		{desc: "deadline with a unit", set: []setHeader{withHeader(deadlineHeader, "5s")}, reason: verdict.BadRequest, wantMessage: deadlineHeader},
		{desc: "body too large", body: strings.Repeat(" ", testMaxBodyBytes+1), reason: verdict.TooLarge, wantMessage: "4096"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(t)
			method, path, body := tc.method, tc.path, tc.body
			if method == "" {
				method, path = http.MethodPost, chatPath
			}
			if body == "" && path == chatPath {
				body = chatBody
			}
			w := f.do(newRequest(method, path, body, tc.set...))
			e := assertRefused(t, w, verdict.NotRun, tc.reason)
			assert.Assert(t, strings.Contains(e.Message, tc.wantMessage), e.Message)
			assert.Equal(t, f.engine.dispatches(), 0)
			assert.Equal(t, len(f.home.reservations), 0)
			assertMetric(t, f, `refusals_total{reason="`+string(tc.reason)+`",verdict="not_run"} 1`)
			f.drain(t)
		})
	}
}

// assertMetric checks that the metrics contain a line.
func assertMetric(t testing.TB, f *fixture, line string) {
	t.Helper()
	w := httptest.NewRecorder()
	f.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), "\npeppertrail_"+line+"\n"), line)
}

// Guards against refusing a body of the maximum size or accepting one that is a byte
// larger.
func TestBodyAtTheLimit(t *testing.T) {
	f := newFixture(t)
	pad := func(n int) string { return chatBody + strings.Repeat(" ", n-len(chatBody)) }
	assert.Equal(t, f.chat(pad(testMaxBodyBytes)).Code, http.StatusOK)
	assertRefused(t, f.chat(pad(testMaxBodyBytes+1)), verdict.NotRun, verdict.TooLarge)
	f.drain(t)
}

// Guards against a response without a verdict for a path or method outside the API.
func TestUnknownRoutes(t *testing.T) {
	f := newFixture(t)
	w := f.do(newRequest(http.MethodGet, "/v1/nothing", ""))
	assert.Equal(t, w.Code, http.StatusNotFound)
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"not_run"`))
	w = f.do(newRequest(http.MethodGet, chatPath, ""))
	assert.Equal(t, w.Code, http.StatusMethodNotAllowed)
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"not_run"`))
}

// Guards against serving without a bundle or with a stale one.
func TestCatalogSourceRefusal(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.NoBundle, verdict.StaleBundle} {
		t.Run(string(reason), func(t *testing.T) {
			f := newFixture(t)
			f.catalogs.refusal = verdict.New(verdict.NotRun, reason, "none")
			assertRefused(t, f.chat(chatBody), verdict.NotRun, reason)
		})
	}
}

// Guards against changing a refusal of the picker before it is sent, and against rounding
// Retry-After down.
func TestPickerRefusal(t *testing.T) {
	f := newFixture(t)
	f.picker.targets = nil
	w := f.chat(chatBody)
	assertRefused(t, w, verdict.NotRun, verdict.NoTarget)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, len(f.home.reservations), 0)
}

// Guards against changing a refusal of the home before it is sent.
func TestHomeRefusals(t *testing.T) {
	cases := []struct {
		v verdict.Verdict
		r verdict.Reason
	}{
		{verdict.NotRun, verdict.BudgetExhausted},
		{verdict.NotRun, verdict.ClaimUnavailable},
		{verdict.NotRun, verdict.KeyReused},
		{verdict.MayHaveRun, verdict.ClaimHeld},
		{verdict.MayHaveRun, verdict.RequestCrashesTargets},
		{verdict.Ran, verdict.ClaimHeld},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s %s", tc.v, tc.r), func(t *testing.T) {
			r := newFixture(t)
			r.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
				return refused(verdict.New(tc.v, tc.r, "refused by the home")), nil
			}
			e := assertRefused(t, r.chat(chatBody, nonIdempotent), tc.v, tc.r)
			assert.Equal(t, e.Message, "refused by the home")
			assert.Equal(t, r.engine.dispatches(), 0)
			r.drain(t)
		})
	}
}

// Guards against a dispatch without a reservation when the home is unreachable.
func TestHomeUnreachable(t *testing.T) {
	f := newFixture(t)
	f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
		return home.ReserveReply{}, errors.New("no route")
	}
	w := f.chat(chatBody)
	assertRefused(t, w, verdict.NotRun, verdict.BudgetUnreachable)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Equal(t, f.engine.dispatches(), 0)
}

// Guards against a dispatch with an empty stream id.
func TestIncompleteReservation(t *testing.T) {
	f := newFixture(t)
	f.home.reserveFunc = func(home.ReserveRequest) (home.ReserveReply, error) {
		return home.ReserveReply{Outcome: home.Granted}, nil
	}
	assertRefused(t, f.chat(chatBody), verdict.MayHaveRun, verdict.Internal)
	assert.Equal(t, f.engine.dispatches(), 0)
}

// Guards against accepting new requests after shutdown has begun.
func TestShutdownRefusesNewRequests(t *testing.T) {
	f := newFixture(t)
	f.server.BeginShutdown()
	w := f.chat(chatBody)
	assertRefused(t, w, verdict.NotRun, verdict.ShuttingDown)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Equal(t, f.engine.dispatches(), 0)
	assert.NilError(t, f.server.Drain(context.Background()))
}

// Guards against choosing the target without the service, prefix, priority or deadline
// of the request.
func TestRouteRequest(t *testing.T) {
	f := newFixture(t)
	f.chat(chatBody, withHeader(deadlineHeader, "5000"), withHeader(priorityHeader, "3"))
	got := f.picker.requests[0]
	assert.Equal(t, got.Service, "chef-llm")
	assert.Equal(t, got.Priority, 3)
	assert.Equal(t, got.Prefix, "user\nsoup?\n")
	assert.Assert(t, !got.Deadline.IsZero())
}

// Guards against an outbox that grows without limit while the table is down.
func TestFullOutboxRefusesRequests(t *testing.T) {
	f := newFixture(t)
	f.server.outbox.limit = 0
	assertRefused(t, f.chat(chatBody), verdict.NotRun, verdict.BudgetUnreachable)
}
