package home

import (
	"context"
	"encoding/json"
	"sort"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// memoryTable is an in-memory table. It fails only while down is set.
type memoryTable struct {
	rows     map[string]storage.Row
	revision uint64
	down     bool
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: make(map[string]storage.Row)}
}

func (t *memoryTable) put(key string, v any) {
	t.revision++
	t.rows[key] = storage.Row{Key: key, Value: mustJSON(v), Version: t.revision}
}

func (t *memoryTable) decode(key string, v any) {
	row, ok := t.rows[key]
	if !ok {
		return
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		panic(err)
	}
}

func (t *memoryTable) keys(prefix string) []string {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// apply commits one operation or returns its conflicts.
func (t *memoryTable) apply(op commit.Op) commit.Result {
	var conflicts []storage.Row
	for _, c := range op.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return commit.Result{Err: commit.ErrConflict, Conflicts: conflicts}
	}
	t.revision++
	for _, p := range op.Puts {
		t.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: t.revision}
	}
	for _, key := range op.Deletes {
		delete(t.rows, key)
	}
	return commit.Result{Revision: t.revision}
}

func (t *memoryTable) Commit(context.Context, storage.Txn) (storage.Outcome, error) {
	panic("Table.Commit was called: the home must write through its committer")
}

func (t *memoryTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	if t.down {
		return nil, storage.ErrUnavailable
	}
	rows := make([]storage.Row, 0, len(keys))
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *memoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var rows []storage.Row
	for _, key := range t.keys(prefix) {
		if key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}
