package bundle

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// testKeys caches derived keys, whose derivation is slow under the race detector.
var testKeys sync.Map

// keyOf returns the private key of a test operator, derived from its name.
func keyOf(name string) ed25519.PrivateKey {
	if key, ok := testKeys.Load(name); ok {
		return key.(ed25519.PrivateKey)
	}
	seed := sha256.Sum256([]byte("operator " + name))
	key := ed25519.NewKeyFromSeed(seed[:])
	testKeys.Store(name, key)
	return key
}

func operatorsOf(names ...string) []Operator {
	var operators []Operator
	for _, name := range names {
		operators = append(operators, NewOperator(name, keyOf(name).Public().(ed25519.PublicKey)))
	}
	return operators
}

func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

// sample returns a valid bundle for the version after base.
func sample(base uint64) Bundle {
	return Bundle{
		Base:             base,
		Operators:        operatorsOf("alice", "bob", "carol"),
		RequiredSignoffs: 2,
		Customers: []Customer{
			{ID: "regie", KeyHashes: []string{keyHash(1)}, Services: []string{"chef-llm", "cantine-app"}, Budget: "regie-main"},
			{ID: "office", KeyHashes: []string{keyHash(2), keyHash(3)}, Services: []string{"chef-llm"}, Budget: "office-main", Budgets: []string{"office-spare"}},
		},
		Services: []Service{
			{Name: "chef-llm", Model: "chef", Kind: target.PromText, MaxOutput: 2048},
			{Name: "cantine-app", Kind: target.Service, NonIdempotent: []string{"/orders"}, CallCost: 10},
		},
	}
}

func signed(t testing.TB, b Bundle, names ...string) []Signature {
	t.Helper()
	var signatures []Signature
	for _, name := range names {
		s, err := Sign(b, name, keyOf(name))
		assert.NilError(t, err)
		signatures = append(signatures, s)
	}
	return signatures
}

func proposalBy(t testing.TB, b Bundle, author string) Proposal {
	t.Helper()
	return Proposal{Author: author, Bundle: b, Signatures: signed(t, b, author)}
}

// testStore returns a store that resubmits without a wait and generates
// predictable transaction ids.
func testStore(table storage.Table, name string) *Store {
	s := NewStore(table, operatorsOf("alice", "bob"))
	s.policy = resubmit.Policy{Attempts: 4}
	n := 0
	s.newID = func() string {
		n++
		return fmt.Sprintf("%s-%d", name, n)
	}
	return s
}

// bringIntoForce submits a bundle as alice and signs it off as bob, which brings
// it into force.
func bringIntoForce(t testing.TB, s *Store, b Bundle) Progress {
	t.Helper()
	ctx := context.Background()
	_, err := s.Submit(ctx, proposalBy(t, b, "alice"))
	assert.NilError(t, err)
	digest, err := Digest(b)
	assert.NilError(t, err)
	progress, err := s.SignOff(ctx, digest, signed(t, b, "bob")[0])
	assert.NilError(t, err)
	assert.Assert(t, progress.InForce)
	return progress
}

func mustContain(t testing.TB, err error, parts ...string) {
	t.Helper()
	assert.Assert(t, err != nil)
	for _, part := range parts {
		assert.Assert(t, strings.Contains(err.Error(), part), "error %q does not contain %q", err, part)
	}
}
