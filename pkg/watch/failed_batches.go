package watch

import (
	"maps"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// minRereadDelay is the time from a batch that cannot be applied to the next read of the
	// table. It leaves hosts most of the 2 s for which an earlier confirmation is used.
	minRereadDelay = 200 * time.Millisecond
	// maxRereadDelay is the longest such time. A row that no host can apply makes each host of a
	// fleet read the whole table this often.
	maxRereadDelay = 30 * time.Second
	// rereadDelayReset is the time without a failure after which the next one is followed by
	// minRereadDelay again.
	rereadDelayReset = time.Minute
)

// failedBatches are the changes that could not be applied, until a read of the whole table has
// applied them. Its methods are given the time.
type failedBatches struct {
	rows     map[string]storage.PartRow // by key
	returned bool                       // one of the states was the first since the store has returned from an older copy
	open     bool                       // no state of the whole table was applied since the failure
	delay    time.Duration              // from the last failure to the next read
	rereadAt time.Time
	failedAt time.Time
}

// add records a state that could not be applied.
func (f *failedBatches) add(changed []storage.PartRow, returned bool, now time.Time) {
	if f.rows == nil {
		f.rows = make(map[string]storage.PartRow)
	}
	for _, row := range changed {
		f.rows[row.Key] = row
	}
	f.returned = f.returned || returned
	if f.open && now.Before(f.rereadAt) { // batches of the feed fail as well until the table is read
		return
	}
	if f.delay == 0 || now.Sub(f.failedAt) > rereadDelayReset+f.delay {
		f.delay = minRereadDelay
	} else {
		f.delay = min(2*f.delay, maxRereadDelay)
	}
	f.open, f.failedAt, f.rereadAt = true, now, now.Add(f.delay)
}

// applied records a batch of the feed that was applied: these rows are no longer missing.
func (f *failedBatches) applied(changed []storage.PartRow) {
	for _, row := range changed {
		delete(f.rows, row.Key)
	}
}

// due reports whether the table must be read.
func (f *failedBatches) due(now time.Time) bool { return f.open && !now.Before(f.rereadAt) }

// merge returns the changes of a read of the whole table together with the missing rows, which
// are those of the table now, or deleted.
func (f *failedBatches) merge(changed []storage.PartRow, table map[string]storage.PartRow) []storage.PartRow {
	missing := maps.Clone(f.rows)
	for _, row := range changed {
		delete(missing, row.Key)
	}
	for key, row := range missing {
		if current, exists := table[key]; exists {
			row = current
		} else {
			row.Deleted = true
		}
		changed = append(changed, row)
	}
	return changed
}

// recover records that a state of the whole table was applied.
func (f *failedBatches) recover() { f.rows, f.returned, f.open = nil, false, false }
