package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// callFault is the fault injected into one Commit call.
type callFault int

const (
	noFault     callFault = iota
	notReceived           // storage.ErrUnavailable, without effect
	replyLost             // storage.ErrUnavailable after the commit took effect
	txnRejected           // an error that does not wrap storage.ErrUnavailable, without effect
)

// fakeTable is a table that injects faults into Commit calls and records the
// calls and the writes applied.
type fakeTable struct {
	storage.Table
	before func(txn storage.Txn) callFault // if not nil, called before each commit to get the fault to inject; it may change rows of Table

	mu      sync.Mutex
	txns    []storage.Txn   // one per call
	applied map[string]int  // number of committed transactions that put a key, by key
	decided map[string]bool // ids of the transactions that the table committed or found in conflict
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		Table:   standin.New().Local(),
		applied: map[string]int{},
		decided: map[string]bool{},
	}
}

func (f *fakeTable) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	fault := noFault
	if f.before != nil {
		fault = f.before(txn)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns = append(f.txns, txn)
	switch fault {
	case notReceived:
		return storage.Outcome{}, fmt.Errorf("%w: not received", storage.ErrUnavailable)
	case txnRejected:
		return storage.Outcome{}, fmt.Errorf("refused")
	}
	outcome, err := f.Table.Commit(ctx, txn)
	if err != nil {
		return outcome, err
	}
	if outcome.Committed && !f.decided[txn.ID] {
		for _, put := range txn.Puts {
			f.applied[put.Key]++
		}
	}
	f.decided[txn.ID] = true
	if fault == replyLost {
		return storage.Outcome{}, fmt.Errorf("%w: reply lost", storage.ErrUnavailable)
	}
	return outcome, nil
}

// write writes a row as another daemon would and returns its version.
func (f *fakeTable) write(key, value string) uint64 {
	outcome, err := f.Table.Commit(context.Background(), storage.Txn{
		ID:   fmt.Sprintf("other-%s-%s", key, value),
		Puts: []storage.Put{{Key: key, Value: json.RawMessage(value)}},
	})
	if err != nil {
		panic(err)
	}
	return outcome.Revision
}

func (f *fakeTable) row(key string) storage.Row {
	rows, err := f.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return rows[0]
}

func (f *fakeTable) holder() lease.HolderRecord {
	var record lease.HolderRecord
	if err := json.Unmarshal(f.row(testHolderKey).Value, &record); err != nil {
		panic(err)
	}
	return record
}

func (f *fakeTable) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.txns)
}
