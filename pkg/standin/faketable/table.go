// Package faketable is a table in memory with injected faults, for tests that
// need one commit to fail in a given way. Package standin/platform is the table
// for tests over HTTP.
package faketable

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/platform"
)

// Fault is what the fake table does with one commit.
type Fault int

// Faults of a commit.
const (
	NoFault   Fault = iota // applied and answered
	LostReply              // applied, then ErrUnavailable
	LostCall               // not applied, ErrUnavailable
)

// Table is a table in memory with injected faults.
type Table struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]platform.Row
	decided  map[string]platform.Outcome
	down     bool
	Fault    func() Fault // called under the table's lock for each commit
}

// New returns an empty table without faults.
func New() *Table {
	return &Table{
		rows:    make(map[string]platform.Row),
		decided: make(map[string]platform.Outcome),
		Fault:   func() Fault { return NoFault },
	}
}

// Commit implements platform.Table.
func (t *Table) Commit(_ context.Context, txn platform.Txn) (platform.Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.Fault()
	if t.down || f == LostCall {
		return platform.Outcome{}, fmt.Errorf("fake: %w", platform.ErrUnavailable)
	}
	outcome := t.apply(txn)
	if f == LostReply {
		return platform.Outcome{}, fmt.Errorf("fake: %w", platform.ErrUnavailable)
	}
	return outcome, nil
}

func (t *Table) apply(txn platform.Txn) platform.Outcome {
	if outcome, ok := t.decided[txn.ID]; ok {
		return outcome
	}
	var outcome platform.Outcome
	for _, c := range txn.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) == 0 {
		t.revision++
		outcome = platform.Outcome{Committed: true, Revision: t.revision}
		for _, p := range txn.Puts {
			t.rows[p.Key] = platform.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.revision}
		}
		for _, key := range txn.Deletes {
			delete(t.rows, key)
		}
	}
	t.decided[txn.ID] = outcome
	return outcome
}

func (t *Table) row(key string) platform.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

// Get implements platform.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake: %w", platform.ErrUnavailable)
	}
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("fake: %w", platform.ErrUnavailable)
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Set writes a row directly, as a faulty or foreign writer would.
func (t *Table) Set(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.rows[key] = platform.Row{Key: key, Value: []byte(value), Version: t.revision}
}

// SetDown makes every call fail until it is called with false.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}
