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

func keyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("operator " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func operatorsOf(names ...string) []bundle.Operator {
	var operators []bundle.Operator
	for _, name := range names {
		operators = append(operators, bundle.NewOperator(name, keyOf(name).Public().(ed25519.PublicKey)))
	}
	return operators
}

func sample(base uint64) bundle.Bundle {
	return bundle.Bundle{
		Base:             base,
		Operators:        operatorsOf("alice", "bob", "carol"),
		RequiredSignoffs: 2,
		Customers: []bundle.Customer{
			{ID: "regie", KeyHashes: []string{strings.Repeat("1", 64)}, Services: []string{"chef-llm"}, Budget: "regie-main", Budgets: []string{"regie-spare"}},
			{ID: "office", Services: []string{"chef-llm"}, Budget: "office-main"},
		},
		Services: []bundle.Service{{Name: "chef-llm", Model: "chef", Kind: target.PromText}},
	}
}

// fakeBackend is a daemon with fixed answers.
type fakeBackend struct {
	targets []target.Status
	drained []string
	live    []string
	journal []JournalEntry
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

func (b *fakeBackend) Journal() []JournalEntry { return b.journal }

func (b *fakeBackend) Explain(_, request string) []telemetry.Step {
	return []telemetry.Step{{Kind: telemetry.StepRefused, Detail: "steps of " + request}}
}

// fleet is a server over a fake table, and its parts.
type fleet struct {
	table   *faketable.Table
	store   *bundle.Store
	watcher *bundle.Watcher
	backend *fakeBackend
	mu      sync.Mutex
	calls   []Call
	url     string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{table: faketable.New(), backend: &fakeBackend{}}
	bootstrap := operatorsOf("alice", "bob")
	f.store = bundle.NewStore(f.table, bootstrap)
	f.watcher = bundle.NewWatcher(bundle.WatcherConfig{Store: f.store, Bootstrap: bootstrap})
	server := NewServer(Config{
		Table:    f.table,
		Store:    f.store,
		Watcher:  f.watcher,
		Backend:  f.backend,
		Now:      func() time.Time { return testNow },
		OnCall:   f.record,
		Resubmit: resubmit.Policy{Attempts: 3},
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	f.url = listener.URL
	return f
}

func (f *fleet) record(c Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
}

// newServing returns a fleet with version 1 in force and held.
func newServing(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.bring(t, sample(0))
	assert.NilError(t, f.watcher.Poll(context.Background()))
	return f
}

func (f *fleet) as(name string) *Client {
	return &Client{URL: f.url, Signer: access.Signer{Operator: name, Key: keyOf(name), Now: func() time.Time { return testNow }}}
}

func (f *fleet) bring(t *testing.T, b bundle.Bundle) {
	t.Helper()
	ctx := context.Background()
	reply, err := f.as("alice").Submit(ctx, proposalBy(t, b, "alice"))
	assert.NilError(t, err)
	s, err := bundle.Sign(b, "bob", keyOf("bob"))
	assert.NilError(t, err)
	reply, err = f.as("bob").SignOff(ctx, reply.Progress.Digest, s)
	assert.NilError(t, err)
	assert.Assert(t, reply.Progress.InForce)
}

func proposalBy(t *testing.T, b bundle.Bundle, author string) bundle.Proposal {
	t.Helper()
	s, err := bundle.Sign(b, author, keyOf(author))
	assert.NilError(t, err)
	return bundle.Proposal{Author: author, Bundle: b, Signatures: []bundle.Signature{s}}
}

// put stores a value as a row.
func (f *fleet) put(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	f.table.Set(key, string(raw))
}

func (f *fleet) budget(t *testing.T, id string) budget.Record {
	t.Helper()
	record, err := readRow[budget.Record](context.Background(), f.table, budget.BudgetKey(id))
	assert.NilError(t, err)
	return *record
}

// mustFail requires an *Error with a code and a message.
func mustFail(t *testing.T, err error, code Code, parts ...string) *Error {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Code, code, e.Message)
	for _, part := range parts {
		assert.Assert(t, strings.Contains(e.Message, part), "%q lacks %q", e.Message, part)
	}
	return e
}

var (
	_ storage.Table = (*faketable.Table)(nil)
	_ Backend       = (*fakeBackend)(nil)
)
