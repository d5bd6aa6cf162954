package bundle

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// versionPrefix is the key prefix of accepted versions.
const versionPrefix = "bundle/v/"

// fault is what the fake table does with one commit.
type fault int

const (
	noFault   fault = iota
	lostReply       // applied, then ErrUnavailable
	lostCall        // not applied, ErrUnavailable
)

// fakeTable is a table in memory with injected faults.
type fakeTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	decided  map[string]storage.Outcome
	down     bool
	fault    func() fault
	// beforeCommit runs without the lock before a commit is applied.
	beforeCommit func()
	// beforeGet runs without the lock before rows are read.
	beforeGet  func(keys []string)
	commits    int
	violations []string // accepted versions that were written a second time
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows:    make(map[string]storage.Row),
		decided: make(map[string]storage.Outcome),
		fault:   func() fault { return noFault },
	}
}

func (t *fakeTable) Commit(_ context.Context, txn storage.Txn) (storage.Outcome, error) {
	if hook := t.takeHook(); hook != nil {
		hook()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := t.fault()
	if t.down || f == lostCall {
		return storage.Outcome{}, fmt.Errorf("fake: %w", storage.ErrUnavailable)
	}
	outcome := t.apply(txn)
	if f == lostReply {
		return storage.Outcome{}, fmt.Errorf("fake: %w", storage.ErrUnavailable)
	}
	return outcome, nil
}

func (t *fakeTable) takeHook() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	hook := t.beforeCommit
	t.beforeCommit = nil
	return hook
}

func (t *fakeTable) apply(txn storage.Txn) storage.Outcome {
	if outcome, ok := t.decided[txn.ID]; ok {
		return outcome
	}
	var outcome storage.Outcome
	for _, c := range txn.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) == 0 {
		t.revision++
		outcome = storage.Outcome{Committed: true, Revision: t.revision}
		for _, p := range txn.Puts {
			t.checkPut(p)
			t.rows[p.Key] = storage.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.revision}
		}
		for _, key := range txn.Deletes {
			delete(t.rows, key)
		}
	}
	t.decided[txn.ID] = outcome
	return outcome
}

// checkPut records a put that gives a version a second text.
func (t *fakeTable) checkPut(p storage.Put) {
	old, exists := t.rows[p.Key]
	if exists && strings.HasPrefix(p.Key, versionPrefix) && string(old.Value) != string(p.Value) {
		t.violations = append(t.violations, p.Key)
	}
}

func (t *fakeTable) row(key string) storage.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return storage.Row{Key: key}
}

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	if t.beforeGet != nil {
		t.beforeGet(keys)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake: %w", storage.ErrUnavailable)
	}
	rows := make([]storage.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake: %w", storage.ErrUnavailable)
	}
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// set writes a row directly, as a faulty or foreign writer would.
func (t *fakeTable) set(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.rows[key] = storage.Row{Key: key, Value: []byte(value), Version: t.revision}
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}
