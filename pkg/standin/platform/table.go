package platform

import (
	"errors"
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// maxOutcomes is the number of transaction outcomes kept for resubmissions. It is
// far above the number of transactions that clients have in flight or resubmit at the
// same time.
const maxOutcomes = 1 << 18

var (
	errNoID         = errors.New("transaction has no id")
	errDuplicateKey = errors.New("transaction writes a key twice")
	errScanLimit    = errors.New("scan limit must be positive")
)

// table is an in-memory transactional table.
type table struct {
	mu         sync.Mutex
	revision   uint64
	rows       map[string]storage.Row
	index      *keyIndex
	outcomes   map[string]storage.Outcome
	outcomeIDs []string // keys of outcomes, oldest first, for eviction
	stats      Stats
}

func newTable() *table {
	return &table{
		rows:     map[string]storage.Row{},
		index:    newKeyIndex(),
		outcomes: map[string]storage.Outcome{},
	}
}

// commit applies txn if its conditions hold. For an id that was submitted before it
// returns the first outcome and changes nothing.
func (t *table) commit(txn storage.Txn) (storage.Outcome, error) {
	if err := validate(txn); err != nil {
		return storage.Outcome{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if outcome, ok := t.outcomes[txn.ID]; ok {
		t.stats.Resubmitted++
		return outcome, nil
	}
	outcome := t.applyOrReject(txn)
	t.storeOutcome(txn.ID, outcome)
	return outcome, nil
}

// applyOrReject applies txn if its conditions hold, and otherwise returns the rows
// that conflict.
func (t *table) applyOrReject(txn storage.Txn) storage.Outcome {
	if conflicts := t.conflicts(txn.Conditions); len(conflicts) > 0 {
		t.stats.Conflicts++
		return storage.Outcome{Revision: t.revision, Conflicts: conflicts}
	}
	t.revision++
	for _, put := range txn.Puts {
		t.put(put)
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	t.stats.Commits++
	t.stats.RowsWritten += uint64(len(txn.Puts) + len(txn.Deletes))
	return storage.Outcome{Committed: true, Revision: t.revision}
}

func (t *table) conflicts(conditions []storage.Condition) []storage.Row {
	var rows []storage.Row
	for _, c := range conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *table) put(put storage.Put) {
	if _, exists := t.rows[put.Key]; !exists {
		t.index.add(put.Key)
	}
	t.rows[put.Key] = storage.Row{Key: put.Key, Value: put.Value, Version: t.revision}
}

func (t *table) storeOutcome(id string, outcome storage.Outcome) {
	if len(t.outcomeIDs) >= maxOutcomes {
		delete(t.outcomes, t.outcomeIDs[0])
		t.outcomeIDs = t.outcomeIDs[1:]
	}
	t.outcomes[id] = outcome
	t.outcomeIDs = append(t.outcomeIDs, id)
}

// row returns the row of key, with Version 0 if it is absent.
func (t *table) row(key string) storage.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return storage.Row{Key: key}
}

func (t *table) get(keys []string) []storage.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := make([]storage.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows
}

func (t *table) scan(prefix, after string, limit int) ([]storage.Row, error) {
	if limit <= 0 {
		return nil, errScanLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := []storage.Row{}
	t.index.visit(prefix, after, func(key string) bool {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
		return len(rows) < limit
	})
	return rows, nil
}

func (t *table) countLostReply() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LostReplies++
}

func (t *table) countRateLimited() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.RateLimited++
}

// readStats returns the current counters.
func (t *table) readStats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

func validate(txn storage.Txn) error {
	if txn.ID == "" {
		return errNoID
	}
	written := slices.Clone(txn.Deletes)
	for _, put := range txn.Puts {
		written = append(written, put.Key)
	}
	slices.Sort(written)
	if len(slices.Compact(written)) != len(txn.Puts)+len(txn.Deletes) {
		return errDuplicateKey
	}
	return nil
}
