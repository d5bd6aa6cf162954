package bundle

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// testClock is a clock that a test advances explicitly.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func testWatcher(s *Store, clock *testClock, adopted *[]uint64) *Watcher {
	return NewWatcher(WatcherConfig{
		Store:     s,
		Bootstrap: operatorsOf("alice", "bob"),
		Now:       clock.Now,
		OnAdopt:   func(a Adoption) { *adopted = append(*adopted, a.Index.Bundle.Version) },
	})
}

// Guards against a poll that misses a new version or adopts one twice.
func TestWatcherPollAdoptsEachVersionOnce(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	clock := &testClock{now: time.Unix(1000, 0)}
	var adopted []uint64
	w := testWatcher(s, clock, &adopted)
	assert.ErrorIs(t, w.Poll(ctx), ErrNoBundle)
	assert.Assert(t, w.Current() == nil)
	bringIntoForce(t, s, sample(0))
	assert.NilError(t, w.Poll(ctx))
	assert.NilError(t, w.Poll(ctx))
	bringIntoForce(t, s, sample(1))
	assert.NilError(t, w.Poll(ctx))
	assert.DeepEqual(t, adopted, []uint64{1, 2})
	customer, ok := w.Current().CustomerByKeyHash(keyHash(3))
	assert.Assert(t, ok && customer.ID == "office")
	service, ok := w.Current().ServiceByModel("chef")
	assert.Assert(t, ok && service.Name == "chef-llm")
	_, ok = w.Current().Service("cantine-app")
	assert.Assert(t, ok)
	_, ok = w.Current().Customer("nobody")
	assert.Assert(t, !ok)
}

// Guards against a version counting as confirmed during a table outage, and
// against the refuse policy not taking effect.
func TestWatcherIsStaleAfterOutage(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	clock := &testClock{now: time.Unix(1000, 0)}
	var adopted []uint64
	w := testWatcher(s, clock, &adopted)
	b := sample(0)
	b.StaleBundle = RefuseStale
	b.StaleBundleSeconds = 30
	bringIntoForce(t, s, b)
	assert.NilError(t, w.Poll(ctx))
	table.SetDown(true)
	clock.now = clock.now.Add(30 * time.Second)
	assert.ErrorIs(t, w.Poll(ctx), storage.ErrUnavailable)
	assert.Equal(t, w.Unconfirmed(), 30*time.Second)
	assert.Assert(t, !w.Stale())
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, w.Stale())
	table.SetDown(false)
	assert.NilError(t, w.Poll(ctx))
	assert.Assert(t, !w.Stale())
}

// Guards against the watcher returning to an older version after the table was
// restored from a backup.
func TestWatcherIgnoresOlderHead(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	clock := &testClock{now: time.Unix(1000, 0)}
	var adopted []uint64
	w := testWatcher(s, clock, &adopted)
	bringIntoForce(t, s, sample(0))
	old := string(table.Value(HeadKey))
	bringIntoForce(t, s, sample(1))
	assert.NilError(t, w.Poll(ctx))
	table.Set(HeadKey, old)
	clock.now = clock.now.Add(time.Minute)
	assert.ErrorIs(t, w.Poll(ctx), ErrOlderHead)
	assert.Equal(t, w.Version(), uint64(2))
	assert.Equal(t, w.Unconfirmed(), time.Minute)
}

// encodedVersion returns a stored version in the encoding that peers push.
func encodedVersion(t *testing.T, s *Store, version uint64) []byte {
	t.Helper()
	a, err := s.Get(context.Background(), version)
	assert.NilError(t, err)
	raw, err := a.Encode()
	assert.NilError(t, err)
	return raw
}

// Guards against a daemon that cannot read the table rejecting pushed versions
// after it missed versions, one of which replaced the operators.
func TestOfferAcrossMissedVersions(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	bringIntoForce(t, s, sample(0))
	bringIntoForce(t, s, sample(1))
	handover := sample(2)
	handover.Operators = operatorsOf("dave", "erin")
	bringIntoForce(t, s, handover)
	next := handover
	next.Base = 3
	progress, err := s.Submit(ctx, proposalBy(t, next, "dave"))
	assert.NilError(t, err)
	_, err = s.SignOff(ctx, progress.Digest, signed(t, next, "erin")[0])
	assert.NilError(t, err)

	for heldVersion := uint64(0); heldVersion < 4; heldVersion++ {
		clock := &testClock{}
		var adopted []uint64
		w := testWatcher(s, clock, &adopted)
		if heldVersion > 0 {
			ok, err := w.Offer(encodedVersion(t, s, heldVersion))
			assert.NilError(t, err)
			assert.Assert(t, ok)
		}
		ok, err := w.Offer(encodedVersion(t, s, 4))
		assert.NilError(t, err, "from version %d", heldVersion)
		assert.Assert(t, ok)
		assert.Equal(t, w.Version(), uint64(4))
		ok, err = w.Offer(encodedVersion(t, s, 2))
		assert.NilError(t, err)
		assert.Assert(t, !ok)
		assert.Equal(t, w.Version(), uint64(4))
	}
}

// Guards against the adoption of a pushed version with invalid proof: changed
// content, a raised version number, too few signatures, signatures by signers who
// are not operators, or a forged or missing handover.
func TestOfferRefusesForgeries(t *testing.T) {
	s := testStore(newFakeTable(), "s")
	bringIntoForce(t, s, sample(0))
	handover := sample(1)
	handover.Operators = operatorsOf("alice", "dave", "erin")
	bringIntoForce(t, s, handover)
	last := handover
	last.Base = 2
	last.Customers = last.Customers[:1]
	ctx := context.Background()
	progress, err := s.Submit(ctx, proposalBy(t, last, "dave"))
	assert.NilError(t, err)
	_, err = s.SignOff(ctx, progress.Digest, signed(t, last, "erin")[0])
	assert.NilError(t, err)

	forgeries := map[string]func(*Accepted){
		"changed content":                        func(a *Accepted) { a.Bundle.Customers[0].MaxPriority = 9 },
		"raised version number":                  func(a *Accepted) { a.Bundle.Base, a.Bundle.Version = 8, 9 },
		"signers who are not operators":          func(a *Accepted) { a.Signatures = signed(t, a.Bundle, "mallory", "trudy") },
		"no handover":                            func(a *Accepted) { a.Handovers = a.Handovers[:1] },
		"forged handover":                        func(a *Accepted) { a.Handovers[1].Trust.Operators = operatorsOf("dave", "erin") },
		"fewer required sign-offs in a handover": func(a *Accepted) { a.Handovers[1].Trust.Required = 1 },
		"one signature":                          func(a *Accepted) { a.Signatures = a.Signatures[:1] },
	}
	for name, forge := range forgeries {
		var adopted []uint64
		w := testWatcher(s, &testClock{}, &adopted)
		_, err := w.Offer(encodedVersion(t, s, 1))
		assert.NilError(t, err)
		a, err := s.Get(ctx, 3)
		assert.NilError(t, err)
		forge(a)
		raw, err := json.Marshal(a)
		assert.NilError(t, err)
		ok, err := w.Offer(raw)
		assert.Assert(t, !ok && err != nil, "%s was adopted", name)
		assert.Equal(t, w.Version(), uint64(1), name)
	}
}

// Guards against two hosts keeping different bundles under one version after a
// peer pushed a competing bundle whose compare-and-set failed.
func TestTableReplacesCompetingBundleOfSameVersion(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	bringIntoForce(t, s, sample(0))
	competing := sample(0)
	competing.Customers[0].MaxPriority = 7
	a, err := accept(nil, Proposal{Author: "alice", Bundle: competing, Signatures: signed(t, competing, "alice", "bob")})
	assert.NilError(t, err)
	raw, err := a.Encode()
	assert.NilError(t, err)
	var adopted []uint64
	w := testWatcher(s, &testClock{}, &adopted)
	ok, err := w.Offer(raw)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.NilError(t, w.Poll(ctx))
	assert.Equal(t, w.Current().Bundle.Customers[0].MaxPriority, 0)
	assert.DeepEqual(t, adopted, []uint64{1, 1})
}

// Guards against Run skipping the immediate first poll, and against Run
// continuing after its context is done.
func TestWatcherRun(t *testing.T) {
	s := testStore(newFakeTable(), "s")
	bringIntoForce(t, s, sample(0))
	ctx, cancel := context.WithCancel(context.Background())
	w := NewWatcher(WatcherConfig{Store: s, PollInterval: time.Hour, OnPoll: func(error) { cancel() }})
	assert.ErrorIs(t, w.Run(ctx), context.Canceled)
	assert.Equal(t, w.Version(), uint64(1))
}
