package bundle

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// raceAction is one step of an operator or of the watcher in the race test.
type raceAction struct {
	Operator string
	Priority int             // distinguishes competing bundles
	Required int             // required sign-offs for the following version
	Watch    bool            // the watcher polls or receives a push, instead of an operator's step
	Push     uint64          // version to push in a watcher step; 0 means poll
	Fault    faketable.Fault // fault of the first commit after the step starts; unused in a step that runs within another step
}

func genRaceAction(t *rapid.T) raceAction {
	return raceAction{
		Operator: rapid.SampledFrom([]string{"alice", "bob", "carol"}).Draw(t, "operator"),
		Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
		Required: rapid.IntRange(1, 2).Draw(t, "required"),
		Watch:    rapid.IntRange(0, 4).Draw(t, "watch") == 0,
		Push:     rapid.Uint64Range(0, 4).Draw(t, "push"),
		Fault:    rapid.SampledFrom([]faketable.Fault{faketable.NoFault, faketable.LostReply, faketable.LostRequest}).Draw(t, "fault"),
	}
}

// Guards against two bundles under one version, and against a watcher returning
// to a lower version, when operators submit competing bundles while calls and
// replies are lost. Steps are interleaved: the next step may run between the
// read and the commit of the current one.
func TestRacingOperatorsInterleaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := newFakeTable()
		stores := map[string]*Store{}
		for _, name := range []string{"alice", "bob", "carol"} {
			stores[name] = testStore(table, name)
		}
		var adopted []uint64
		w := testWatcher(stores["alice"], &testClock{}, &adopted)
		actions := rapid.SliceOfN(rapid.Custom(genRaceAction), 6, 14).Draw(t, "actions")
		nest := rapid.SliceOfN(rapid.Bool(), len(actions), len(actions)).Draw(t, "nest")
		seen := uint64(0)
		run := func(a raceAction) {
			if a.Watch {
				watchStep(t, stores["alice"], w, a)
			} else {
				operatorStep(t, ctx, stores[a.Operator], a)
			}
			if w.Version() < seen {
				t.Fatalf("watcher returned from version %d to lower version %d", seen, w.Version())
			}
			seen = w.Version()
		}
		for i := 0; i < len(actions); i++ {
			a := actions[i]
			remaining := 1
			table.Fault = func(storage.Txn) faketable.Fault { // at most one fault per step, so that resubmission succeeds
				if remaining == 0 {
					return faketable.NoFault
				}
				remaining--
				return a.Fault
			}
			if nest[i] && i+1 < len(actions) {
				i++
				inner := actions[i]
				table.beforeCommit = func() { run(inner) }
			}
			run(a)
			table.beforeCommit = nil
		}
		table.Fault = func(storage.Txn) faketable.Fault { return faketable.NoFault }
		if len(table.violations) > 0 {
			t.Fatalf("accepted versions were overwritten: %v", table.violations)
		}
		assertHeadIsNewest(t, stores["alice"], w)
	})
}

// operatorStep submits a competing bundle based on the version in force. If the
// bundle is already stored, this adds the operator's signature.
func operatorStep(t *rapid.T, ctx context.Context, s *Store, a raceAction) {
	b := sample(0)
	current, err := s.Current(ctx)
	if err == nil {
		b = sample(current.Bundle.Version)
	} else if !errors.Is(err, ErrNoBundle) {
		t.Fatalf("read the version in force: %v", err)
	}
	b.Customers[0].MaxPriority = a.Priority
	b.RequiredSignoffs = a.Required
	signature, err := Sign(b, a.Operator, keyOf(a.Operator))
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Submit(ctx, Proposal{Author: a.Operator, Bundle: b, Signatures: []Signature{signature}})
	var conflict *ConflictError
	expected := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrSignature) || errors.Is(err, ErrBusy)
	if !expected {
		t.Fatalf("submit: %v", err)
	}
	if errors.Is(err, ErrSignature) && (a.Operator != "carol" || current != nil) {
		t.Fatalf("signature of operator %s refused: %v", a.Operator, err)
	}
}

// watchStep lets the watcher poll, or pushes it any stored version.
func watchStep(t *rapid.T, s *Store, w *Watcher, a raceAction) {
	ctx := context.Background()
	if a.Push == 0 {
		if err := w.Poll(ctx); err != nil && !errors.Is(err, ErrNoBundle) {
			t.Fatalf("poll: %v", err)
		}
		return
	}
	accepted, err := s.Get(ctx, a.Push)
	if errors.Is(err, ErrNoVersion) {
		return
	}
	if err != nil {
		t.Fatalf("read an accepted version: %v", err)
	}
	raw, err := accepted.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Offer(raw); err != nil {
		t.Fatalf("offer of version %d: %v", a.Push, err)
	}
}

// assertHeadIsNewest requires that the head names the highest stored version and
// that the watcher has that version after a poll.
func assertHeadIsNewest(t *rapid.T, s *Store, w *Watcher) {
	ctx := context.Background()
	current, err := s.Current(ctx)
	if errors.Is(err, ErrNoBundle) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(ctx, current.Bundle.Version+1); !errors.Is(err, ErrNoVersion) {
		t.Fatalf("read of the version above the head: got error %v, want ErrNoVersion", err)
	}
	if err := w.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	if w.Version() != current.Bundle.Version {
		t.Fatalf("watcher has version %d, table has version %d", w.Version(), current.Bundle.Version)
	}
}

// Guards against a data race, and against two versions being accepted, when
// operators submit concurrently. Each round must bring exactly one version into
// force.
func TestRacingOperatorsConcurrent(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	bringIntoForce(t, testStore(table, "setup"), sample(0))
	n := 0
	table.Fault = func(storage.Txn) faketable.Fault { // called under the table's lock
		n++
		return []faketable.Fault{faketable.NoFault, faketable.LostReply, faketable.NoFault, faketable.LostRequest}[n%4]
	}
	w := NewWatcher(WatcherConfig{Store: testStore(table, "watch")})
	const rounds = 5
	for round := uint64(1); round <= rounds; round++ {
		var group sync.WaitGroup
		for i, author := range []string{"alice", "bob", "carol"} {
			group.Go(func() {
				b := sample(round)
				b.Customers[0].MaxPriority = i
				s := testStore(table, author+string(rune('0'+round)))
				for _, signer := range []string{"alice", "bob", "carol"} {
					_, err := s.Submit(ctx, proposalBy(t, b, signer))
					var conflict *ConflictError
					if err != nil && !errors.As(err, &conflict) && !errors.Is(err, ErrBusy) {
						t.Errorf("submit by %s: %v", signer, err)
					}
				}
			})
		}
		group.Go(func() {
			before := w.Version()
			if err := w.Poll(ctx); err != nil {
				t.Errorf("poll: %v", err)
			}
			if w.Version() < before {
				t.Errorf("watcher returned from version %d to lower version %d", before, w.Version())
			}
		})
		group.Wait()
		current, err := testStore(table, "check").Current(ctx)
		assert.NilError(t, err)
		assert.Equal(t, current.Bundle.Version, round+1)
	}
	assert.Equal(t, len(table.violations), 0, "accepted versions were overwritten: %v", table.violations)
}

var _ storage.Table = (*fakeTable)(nil)
