package repair

import (
	"crypto/rand"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const testTTL = 15 * time.Second

// testRepairer returns a repairer that holds its role.
func testRepairer(t *testing.T, table storage.Table) *Repairer {
	t.Helper()
	lessor := lease.NewTableLessor(table, "self", time.Hour)
	_, err := lessor.Acquire(t.Context(), Role)
	assert.NilError(t, err)
	return New(Options{Table: table, Lessor: lessor, Self: "self", TTL: testTTL, Report: func(Report) {}, TxnID: rand.Text})
}

func put(t *testing.T, table storage.Table, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), storage.Txn{ID: rand.Text(), Puts: []storage.Put{{Key: key, Value: raw}}})
	assert.NilError(t, err)
}

func holderRows(t *testing.T, table storage.Table) map[string]storage.Row {
	t.Helper()
	rows, err := table.Scan(t.Context(), lease.HolderPrefix, "", scanPageSize)
	assert.NilError(t, err)
	byKey := make(map[string]storage.Row)
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey
}

// Guards against rows of ended holders that stay forever and slow down every
// scan, and against the deletion of a row that is too recent, belongs to a live
// holder or to a holder with open grants.
func TestRowsOfEndedHoldersAreDeletedAfterRetention(t *testing.T) {
	table := standin.New().Local()
	r := testRepairer(t, table)
	live, stopped, dead := lease.HolderKey("live"), lease.HolderKey("stopped"), lease.HolderKey("dead")
	put(t, table, live, lease.HolderRecord{Incarnation: "live"})
	put(t, table, stopped, lease.HolderRecord{Incarnation: "stopped", Stopped: true})
	put(t, table, dead, lease.HolderRecord{Incarnation: "dead"})
	put(t, table, budget.BudgetKey("b"), budget.Record{ID: "b", Limit: 100, Granted: 40})
	put(t, table, budget.GrantKey("dead", "dead.1"), budget.GrantRecord{ID: "dead.1", Holder: "dead", Budget: "b", Amount: 40, State: budget.GrantOpen})

	now := time.Now()
	for renewals := uint64(0); renewals < 3; renewals++ {
		put(t, table, live, lease.HolderRecord{Incarnation: "live", Renewals: renewals})
		assert.NilError(t, r.Pass(t.Context(), now))
		now = now.Add(testTTL + time.Second)
	}
	rows := holderRows(t, table)
	assert.Equal(t, len(rows), 3)
	var fenced lease.HolderRecord
	assert.NilError(t, json.Unmarshal(rows[dead].Value, &fenced))
	assert.Assert(t, fenced.Fenced)

	for range 3 {
		put(t, table, live, lease.HolderRecord{Incarnation: "live", Renewals: 9})
		assert.NilError(t, r.Pass(t.Context(), now))
		now = now.Add(endedRowRetention)
	}
	rows = holderRows(t, table)
	assert.Equal(t, len(rows), 1)
	assert.Assert(t, rows[live].Version > 0)
	grants, err := table.Get(t.Context(), budget.GrantKey("dead", "dead.1"))
	assert.NilError(t, err)
	assert.Assert(t, grants[0].Version > 0, "the closed grant was deleted, but a late bill line needs it")
}

// Guards against the deletion of a row that a holder has just changed.
func TestChangedHolderRowIsKept(t *testing.T) {
	table := standin.New().Local()
	r := testRepairer(t, table)
	key := lease.HolderKey("stopped")
	put(t, table, key, lease.HolderRecord{Incarnation: "stopped", Stopped: true})
	now := time.Now()
	assert.NilError(t, r.Pass(t.Context(), now))
	put(t, table, key, lease.HolderRecord{Incarnation: "stopped", Stopped: true, Renewals: 1})
	assert.NilError(t, r.Pass(t.Context(), now.Add(endedRowRetention)))
	assert.Equal(t, len(holderRows(t, table)), 1)
}
