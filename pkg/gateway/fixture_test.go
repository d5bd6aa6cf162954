package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/route"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

const (
	testKey     = "sk-test"
	testID      = "order-1"
	chatBody    = `{"model":"chef","messages":[{"role":"user","content":"soup?"}],"max_tokens":8}`
	streamBody  = `{"model":"chef","messages":[{"role":"user","content":"soup?"}],"max_tokens":8,"stream":true}`
	orderPath   = "/v1/services/cantine/orders"
	lookupPath  = "/v1/services/cantine/menu"
	testMaxBody = 4096
)

func testBundle() bundle.Bundle {
	return bundle.Bundle{
		Version: 1,
		Customers: []bundle.Customer{{
			ID: "regie", KeyHashes: []string{hashAPIKey(testKey)}, Services: []string{"chef-llm", "cantine"},
			Budget: "regie-main", Budgets: []string{"regie-extra"}, MaxPriority: 7,
		}},
		Services: []bundle.Service{
			{Name: "chef-llm", Model: "chef", Kind: target.PromText, MaxOutput: 16},
			{Name: "other-llm", Model: "other", Kind: target.PromText, MaxOutput: 16},
			{Name: "cantine", Kind: target.Service, CallCost: 5, NonIdempotent: []string{"/orders"}},
		},
	}
}

// fakeCatalogSource is a CatalogSource that returns a fixed catalog and refusal.
type fakeCatalogSource struct {
	catalog Catalog
	refusal *verdict.Error
}

func (d *fakeCatalogSource) Current() (Catalog, *verdict.Error) { return d.catalog, d.refusal }

// fakePicker is a Picker that picks the first target that is not excluded.
type fakePicker struct {
	mu       sync.Mutex
	targets  []target.Target
	requests []route.Request
	open     map[string]int
	failed   []string
}

func (p *fakePicker) Pick(req route.Request) (target.Target, *verdict.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, req)
	for _, t := range p.targets {
		if !slices.Contains(req.Exclude, t.ID) {
			return t, nil
		}
	}
	return target.Target{}, verdict.New(verdict.NotRun, verdict.NoTarget, "no target").WithRetryAfter(1500 * time.Millisecond)
}

func (p *fakePicker) DispatchStarted(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[id]++
}

func (p *fakePicker) DispatchEnded(id string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[id]--
	if failed {
		p.failed = append(p.failed, id)
	}
}

func (p *fakePicker) ObserveExecutionTime(string, time.Duration) {}

func (p *fakePicker) Target(id string) (target.Target, bool) {
	for _, t := range p.targets {
		if t.ID == id {
			return t, true
		}
	}
	return target.Target{}, false
}

// fakeRetries is a RetryBudget that allows a fixed number of retries.
type fakeRetries struct {
	mu        sync.Mutex
	remaining int
}

func (r *fakeRetries) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining--
	return r.remaining >= 0
}

type fakeIdentity struct{}

func (fakeIdentity) Incarnation() string { return "h1-1" }
func (fakeIdentity) Fencing() uint64     { return 42 }

// fixture is a server with fake dependencies.
type fixture struct {
	server   *Server
	catalogs *fakeCatalogSource
	picker   *fakePicker
	home     *fakeHome
	engine   *fakeEngine
	retries  *fakeRetries
	journal  *telemetry.Journal
	metrics  *telemetry.Metrics
}

// newFixture returns a fixture with three targets. They respond to every completion
// with the tokens "a" and "b".
func newFixture(t testing.TB) *fixture {
	t.Helper()
	r := &fixture{
		catalogs: &fakeCatalogSource{catalog: NewCatalog(testBundle())},
		picker:   &fakePicker{open: make(map[string]int)},
		home:     newFakeHome(),
		engine:   newFakeEngine(),
		retries:  &fakeRetries{remaining: 1000},
		journal:  telemetry.NewJournal(100),
		metrics:  telemetry.NewMetrics(),
	}
	for _, id := range []string{"t1", "t2", "t3"} {
		r.picker.targets = append(r.picker.targets, target.Target{ID: id, Addr: id + ":1"})
		r.engine.behaviors[id] = &behavior{events: completionEvents("a", "b"), plainResponse: plainResponse()}
	}
	var err error
	r.server, err = New(Options{
		Catalogs: r.catalogs, Picker: r.picker, Targets: r.picker, Authorities: r.home, Engine: r.engine,
		RetryBudget: r.retries, Identity: fakeIdentity{}, Metrics: r.metrics, Journal: r.journal,
		Logger: telemetry.Discard().Logger("gateway"), MaxBodyBytes: testMaxBody,
	})
	assert.NilError(t, err)
	t.Cleanup(r.server.Close)
	return r
}

// setHeader modifies the headers of a test request.
type setHeader func(http.Header)

func withKey(h http.Header) { h.Set(idempotencyKeyHeader, testID) }

func withHeader(name, value string) setHeader {
	return func(h http.Header) { h.Set(name, value) }
}

func nonIdempotent(h http.Header) {
	h.Set(nonIdempotentHeader, "true")
	withKey(h)
}

func newRequest(method, path, body string, set ...setHeader) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for _, f := range set {
		f(r.Header)
	}
	return r
}

// do sends a request through the handler.
func (r *fixture) do(req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.server.ServeHTTP(w, req)
	return w
}

func (r *fixture) chat(body string, set ...setHeader) *httptest.ResponseRecorder {
	return r.do(newRequest(http.MethodPost, chatPath, body, set...))
}

// Drain waits for requests and then for settlements, as the daemon does at shutdown.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.AwaitRequests(ctx); err != nil {
		return err
	}
	return s.AwaitSettlements(ctx)
}

// drain shuts the server down, waits until all settlements are durable and checks that
// no dispatch or stream reader is left.
func (r *fixture) drain(t assert.TestingT) {
	r.server.BeginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, r.server.Drain(ctx))
	for id, n := range r.picker.open {
		assert.Equal(t, n, 0, "target %s: DispatchStarted without DispatchEnded", id)
	}
	assert.Equal(t, len(r.server.streamReaders.streams), 0, "a stream still has a reader")
}

// refusalIn decodes the refusal in a response and checks that status and headers match it.
func refusalIn(t testing.TB, w *httptest.ResponseRecorder) refusalError {
	t.Helper()
	var body refusalBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body.String())
	assert.Equal(t, w.Code, body.Error.Reason.HTTPStatus())
	assert.Equal(t, w.Header().Get(verdictHeader), string(body.Error.Verdict))
	assert.Equal(t, w.Header().Get(requestIDHeader), body.Error.RequestID)
	assert.Assert(t, body.Error.RequestID != "")
	return body.Error
}

// assertRefused checks the verdict and reason of a refusal and returns it.
func assertRefused(t testing.TB, w *httptest.ResponseRecorder, v verdict.Verdict, r verdict.Reason) refusalError {
	t.Helper()
	e := refusalIn(t, w)
	assert.Equal(t, e.Verdict, v, e.Message)
	assert.Equal(t, e.Reason, r, e.Message)
	return e
}
