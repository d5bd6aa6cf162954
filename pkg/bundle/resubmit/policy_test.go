package resubmit

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// scriptedTable answers successive commits with the errors in errs.
type scriptedTable struct {
	storage.Table
	errs []error
	ids  []string
}

func (t *scriptedTable) Commit(_ context.Context, txn storage.Txn) (storage.Outcome, error) {
	err := t.errs[len(t.ids)]
	t.ids = append(t.ids, txn.ID)
	return storage.Outcome{Committed: err == nil}, err
}

// Guards against a resubmission under a new id, by which a transaction could be
// applied twice.
func TestCommitKeepsID(t *testing.T) {
	table := &scriptedTable{errs: []error{storage.ErrUnavailable, storage.ErrUnavailable, nil}}
	outcome, err := Policy{Attempts: 3}.Commit(context.Background(), table, storage.Txn{ID: "a"})
	assert.NilError(t, err)
	assert.Assert(t, outcome.Committed)
	assert.DeepEqual(t, table.ids, []string{"a", "a", "a"})
}

// Guards against endless resubmission during an outage, and against an unknown
// outcome being reported as a definite one.
func TestCommitStopsAfterLastAttempt(t *testing.T) {
	table := &scriptedTable{errs: []error{storage.ErrUnavailable, storage.ErrUnavailable}}
	_, err := Policy{Attempts: 2}.Commit(context.Background(), table, storage.Txn{ID: "a"})
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	assert.Equal(t, len(table.ids), 2)
}

// Guards against resubmission of a transaction that the table rejected.
func TestCommitReturnsOtherErrors(t *testing.T) {
	table := &scriptedTable{errs: []error{errors.New("bad transaction")}}
	_, err := Policy{Attempts: 5}.Commit(context.Background(), table, storage.Txn{ID: "a"})
	assert.ErrorContains(t, err, "bad transaction")
}

// Guards against a wait that continues after the caller's context is done.
func TestCommitStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	table := &scriptedTable{errs: []error{storage.ErrUnavailable, nil}}
	_, err := Policy{Attempts: 2, InitialWait: time.Hour}.Commit(ctx, table, storage.Txn{ID: "a"})
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	assert.Equal(t, len(table.ids), 1)
}
