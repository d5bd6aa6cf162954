// Package faketable is an in-memory storage.Table with injected faults, for tests
// that need a particular commit to fail in a given way. Package standin/platform
// serves a table over HTTP.
package faketable

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Fault is a failure mode of one commit.
type Fault int

// Faults of a commit.
const (
	NoFault     Fault = iota // the transaction is applied and its outcome returned
	LostReply                // the transaction is applied, but ErrUnavailable is returned
	LostRequest              // the transaction is not applied and ErrUnavailable is returned
)

// Table is an in-memory table with injected faults.
type Table struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	outcomes map[string]storage.Outcome
	down     bool
	Fault    func(storage.Txn) Fault // returns the fault of a submission; called with the table locked
	// OnPut, if not nil, is called before a put is applied, with the table locked.
	OnPut func(before storage.Row, p storage.Put)
}

// New returns an empty table without faults.
func New() *Table {
	return &Table{
		rows:     make(map[string]storage.Row),
		outcomes: make(map[string]storage.Outcome),
		Fault:    func(storage.Txn) Fault { return NoFault },
	}
}

// Commit implements storage.Table.
func (t *Table) Commit(_ context.Context, txn storage.Txn) (storage.Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.Fault(txn)
	if t.down || f == LostRequest {
		return storage.Outcome{}, fmt.Errorf("fake table: %w", storage.ErrUnavailable)
	}
	outcome := t.apply(txn)
	if f == LostReply {
		return storage.Outcome{}, fmt.Errorf("fake table: %w", storage.ErrUnavailable)
	}
	return outcome, nil
}

func (t *Table) apply(txn storage.Txn) storage.Outcome {
	if outcome, ok := t.outcomes[txn.ID]; ok {
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
			if t.OnPut != nil {
				t.OnPut(t.row(p.Key), p)
			}
			t.rows[p.Key] = storage.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.revision}
		}
		for _, key := range txn.Deletes {
			delete(t.rows, key)
		}
	}
	t.outcomes[txn.ID] = outcome
	return outcome
}

func (t *Table) row(key string) storage.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return storage.Row{Key: key}
}

// Get implements storage.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake table: %w", storage.ErrUnavailable)
	}
	rows := make([]storage.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, nil
}

// Scan implements storage.Table.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake table: %w", storage.ErrUnavailable)
	}
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Set writes a row without a transaction, to simulate a faulty or unrelated writer.
func (t *Table) Set(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.rows[key] = storage.Row{Key: key, Value: []byte(value), Version: t.revision}
}

// Remove removes a row without a transaction, to simulate a manual change by an
// operator.
func (t *Table) Remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Value returns the value of a row, nil if it is absent.
func (t *Table) Value(key string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].Value
}

// Revision returns the revision of the last committed transaction or Set.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// SetDown sets whether every Commit, Get and Scan fails with storage.ErrUnavailable.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}
