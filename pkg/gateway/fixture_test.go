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
	testAPIKey         = "sk-test"
	testIdempotencyKey = "order-1"
	chatBody           = `{"model":"chef","messages":[{"role":"user","content":"soup?"}],"max_tokens":8}`
	streamBody         = `{"model":"chef","messages":[{"role":"user","content":"soup?"}],"max_tokens":8,"stream":true}`
	orderPath          = "/v1/services/cantine/orders"
	lookupPath         = "/v1/services/cantine/menu"
	testMaxBodyBytes   = 4096
)

func testBundle() bundle.Bundle {
	return bundle.Bundle{
		Version: 1,
		Customers: []bundle.Customer{{
			ID: "regie", KeyHashes: []string{hashAPIKey(testAPIKey)}, Services: []string{"chef-llm", "cantine"},
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

func (s *fakeCatalogSource) Current() (Catalog, *verdict.Error) { return s.catalog, s.refusal }

// fakePicker is a Picker that picks the first target that is not excluded.
type fakePicker struct {
	mu             sync.Mutex
	targets        []target.Target
	requests       []route.Request
	openDispatches map[string]int // number of dispatches in progress, by target id
	failed         []string       // ids for which DispatchEnded was called with failed set
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
	p.openDispatches[id]++
}

func (p *fakePicker) DispatchEnded(id string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openDispatches[id]--
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
	f := &fixture{
		catalogs: &fakeCatalogSource{catalog: NewCatalog(testBundle())},
		picker:   &fakePicker{openDispatches: make(map[string]int)},
		home:     newFakeHome(),
		engine:   newFakeEngine(),
		retries:  &fakeRetries{remaining: 1000},
		journal:  telemetry.NewJournal(100),
		metrics:  telemetry.NewMetrics(),
	}
	for _, id := range []string{"t1", "t2", "t3"} {
		f.picker.targets = append(f.picker.targets, target.Target{ID: id, Addr: id + ":1"})
		f.engine.behaviors[id] = &behavior{events: completionEvents("a", "b"), plainResponse: plainResponse()}
	}
	var err error
	f.server, err = New(Options{
		Catalogs: f.catalogs, Picker: f.picker, Targets: f.picker, Authorities: f.home, Engine: f.engine,
		RetryBudget: f.retries, Identity: fakeIdentity{}, Metrics: f.metrics, Journal: f.journal,
		Logger: telemetry.Discard().Logger("gateway"), MaxBodyBytes: testMaxBodyBytes,
	})
	assert.NilError(t, err)
	t.Cleanup(f.server.Close)
	return f
}

// setHeader modifies the headers of a test request.
type setHeader func(http.Header)

func withIdempotencyKey(h http.Header) { h.Set(idempotencyKeyHeader, testIdempotencyKey) }

func withHeader(name, value string) setHeader {
	return func(h http.Header) { h.Set(name, value) }
}

func nonIdempotent(h http.Header) {
	h.Set(nonIdempotentHeader, "true")
	withIdempotencyKey(h)
}

func newRequest(method, path, body string, set ...setHeader) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	for _, f := range set {
		f(r.Header)
	}
	return r
}

// do sends a request through the handler.
func (f *fixture) do(req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, req)
	return w
}

func (f *fixture) chat(body string, set ...setHeader) *httptest.ResponseRecorder {
	return f.do(newRequest(http.MethodPost, chatPath, body, set...))
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
func (f *fixture) drain(t assert.TestingT) {
	f.server.BeginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, f.server.Drain(ctx))
	for id, n := range f.picker.openDispatches {
		assert.Equal(t, n, 0, "target %s: DispatchStarted without DispatchEnded", id)
	}
	assert.Equal(t, len(f.server.streamReaders.streams), 0, "a stream still has a reader")
}

// decodeRefusal decodes the refusal in a response and checks that status and headers match it.
func decodeRefusal(t testing.TB, w *httptest.ResponseRecorder) refusalError {
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
	e := decodeRefusal(t, w)
	assert.Equal(t, e.Verdict, v, e.Message)
	assert.Equal(t, e.Reason, r, e.Message)
	return e
}
