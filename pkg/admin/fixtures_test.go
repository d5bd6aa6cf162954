package admin

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

var testNow = time.Unix(1_800_000_000, 0)

func operatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("operator " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func operatorsNamed(names ...string) []bundle.Operator {
	var operators []bundle.Operator
	for _, name := range names {
		operators = append(operators, bundle.NewOperator(name, operatorKey(name).Public().(ed25519.PublicKey)))
	}
	return operators
}

func sampleBundle(base uint64) bundle.Bundle {
	return bundle.Bundle{
		Base:             base,
		Operators:        operatorsNamed("alice", "bob", "carol"),
		RequiredSignoffs: 2,
		Customers: []bundle.Customer{
			{ID: "regie", KeyHashes: []string{strings.Repeat("1", 64)}, Services: []string{"chef-llm"}, Budget: "regie-main", Budgets: []string{"regie-spare"}},
			{ID: "office", Services: []string{"chef-llm"}, Budget: "office-main"},
		},
		Services: []bundle.Service{{Name: "chef-llm", Model: "chef", Kind: target.PromText}},
	}
}

// fakeBackend is a Backend with fixed answers.
type fakeBackend struct {
	targets      []target.Status
	drained      []string
	live         []string
	localRepairs []RepairEntry
}

func (b *fakeBackend) Targets() []target.Status { return b.targets }

func (b *fakeBackend) Drain(_ context.Context, id string) error {
	for _, t := range b.targets {
		if t.Target.ID == id {
			b.drained = append(b.drained, id)
			return nil
		}
	}
	return fmt.Errorf("%w %q", ErrUnknownTarget, id)
}

func (b *fakeBackend) LiveHolders() []string { return b.live }

func (b *fakeBackend) LocalRepairs() []RepairEntry { return b.localRepairs }

func (b *fakeBackend) Explain(_, request string) []telemetry.Step {
	return []telemetry.Step{{Kind: telemetry.StepRefused, Detail: "steps of " + request}}
}

// testServer is an admin server with a fake table and backend.
type testServer struct {
	table   *faketable.Table
	store   *bundle.Store
	watcher *bundle.Watcher
	backend *fakeBackend
	mu      sync.Mutex
	calls   []Call
	url     string
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	f := &testServer{table: faketable.New(), backend: &fakeBackend{}}
	bootstrap := operatorsNamed("alice", "bob")
	f.store = bundle.NewStore(f.table, bootstrap)
	f.watcher = bundle.NewWatcher(bundle.WatcherConfig{Store: f.store, Bootstrap: bootstrap})
	server := NewServer(Config{
		Table:    f.table,
		Store:    f.store,
		Watcher:  f.watcher,
		Backend:  f.backend,
		Now:      func() time.Time { return testNow },
		OnCall:   f.recordCall,
		Resubmit: resubmit.Policy{Attempts: 3},
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	f.url = listener.URL
	return f
}

func (f *testServer) recordCall(c Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
}

// newTestServerWithBundle returns a server with bundle version 1 in force and held.
func newTestServerWithBundle(t *testing.T) *testServer {
	t.Helper()
	f := newTestServer(t)
	f.acceptBundle(t, sampleBundle(0))
	assert.NilError(t, f.watcher.Poll(context.Background()))
	return f
}

// clientAs returns a client that signs as the named operator.
func (f *testServer) clientAs(name string) *Client {
	return &Client{URL: f.url, Signer: access.Signer{Operator: name, Key: operatorKey(name), Now: func() time.Time { return testNow }}}
}

// acceptBundle submits a bundle as alice and signs it off as bob.
func (f *testServer) acceptBundle(t *testing.T, b bundle.Bundle) {
	t.Helper()
	ctx := context.Background()
	reply, err := f.clientAs("alice").Submit(ctx, proposalBy(t, b, "alice"))
	assert.NilError(t, err)
	s, err := bundle.Sign(b, "bob", operatorKey("bob"))
	assert.NilError(t, err)
	reply, err = f.clientAs("bob").SignOff(ctx, reply.Progress.Digest, s)
	assert.NilError(t, err)
	assert.Assert(t, reply.Progress.InForce)
}

func proposalBy(t *testing.T, b bundle.Bundle, author string) bundle.Proposal {
	t.Helper()
	s, err := bundle.Sign(b, author, operatorKey(author))
	assert.NilError(t, err)
	return bundle.Proposal{Author: author, Bundle: b, Signatures: []bundle.Signature{s}}
}

// putRow stores a value as a JSON row.
func (f *testServer) putRow(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	f.table.Set(key, string(raw))
}

func (f *testServer) budget(t *testing.T, id string) budget.Record {
	t.Helper()
	record, err := readRow[budget.Record](context.Background(), f.table, budget.BudgetKey(id))
	assert.NilError(t, err)
	return *record
}

// requireError requires an *Error with a code and a message that contains all parts.
func requireError(t *testing.T, err error, code Code, parts ...string) *Error {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Code, code, e.Message)
	for _, part := range parts {
		assert.Assert(t, strings.Contains(e.Message, part), "error message %q does not contain %q", e.Message, part)
	}
	return e
}

var (
	_ storage.Table = (*faketable.Table)(nil)
	_ Backend       = (*fakeBackend)(nil)
)
