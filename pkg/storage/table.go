// Package storage declares the interfaces through which daemons use the platform:
// a transactional table, a partitioned table service with change feeds, an object
// store and a membership list.
package storage

import (
	"context"
	"encoding/json"
	"errors"
)

// ErrUnavailable means that the platform did not reply in time or refused the call.
// The outcome of a commit that returns it is unknown until the same transaction id
// is submitted again.
var ErrUnavailable = errors.New("platform unavailable")

// Row is a table row. Version is the table revision that last wrote it; 0 means that
// the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"version"`
}

// Condition requires that a row has exactly this version; 0 requires that it does not
// exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Txn is an atomic set of conditions and writes. The ID makes resubmissions
// idempotent.
type Txn struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Outcome is the result of a transaction.
type Outcome struct {
	Committed bool   `json:"committed"`
	Revision  uint64 `json:"revision"`            // table revision of the transaction, which is the version of every row that it wrote
	Conflicts []Row  `json:"conflicts,omitempty"` // current rows of the failed conditions
}

// Table is the transactional table service.
type Table interface {
	// Commit applies txn if all its conditions hold. For an id that was decided
	// earlier it returns the first outcome. It returns ErrUnavailable (wrapped)
	// if the outcome is unknown.
	Commit(ctx context.Context, txn Txn) (Outcome, error)
	// Get returns one row per key, in the order of keys. A row that does not exist
	// has Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys have the prefix and are greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
