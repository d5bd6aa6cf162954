package rowstore

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Store holds all rows. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[storage.RowKey]storage.PartRow
	history []storage.PartRow // all changes since oldest, in order of version
	oldest  uint64            // feeds from an earlier version fail with storage.ErrHistoryGone
	version storage.Version
	changed chan struct{} // closed and replaced at each change
	clock   func() time.Duration
	limiter limiter
	Stats   Stats
}

// Stats counts calls. Read it only while no call is in progress.
type Stats struct {
	Transactions int
	Reads        int
	Feeds        int
}

// New returns an empty store in its first era. clock is its monotonic clock; nil: the time since New.
func New(clock func() time.Duration) *Store {
	if clock == nil {
		start := time.Now()
		clock = func() time.Duration { return time.Since(start) }
	}
	return &Store{rows: make(map[storage.RowKey]storage.PartRow), version: storage.Version{Era: 1}, changed: make(chan struct{}), clock: clock}
}

// NewWithoutEras returns an empty store that names no era.
func NewWithoutEras() *Store {
	s := New(nil)
	s.version.Era = 0
	return s
}

// Put writes a row without a precondition, to simulate another writer.
func (s *Store) Put(key storage.RowKey, value []byte) {
	s.apply(storage.RowTxn{Puts: []storage.PartRow{{RowKey: key, Value: value}}})
}

// Remove removes a row without a precondition, to simulate another writer.
func (s *Store) Remove(key storage.RowKey) {
	s.apply(storage.RowTxn{Removes: []storage.RowKey{key}})
}

// Get returns a row, with version number 0 if it is absent.
func (s *Store) Get(key storage.RowKey) storage.PartRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// DropHistory drops the history of all feeds. A feed from an earlier version then
// fails with storage.ErrHistoryGone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.version.Number
}

// Copy is the state of a store at one moment.
type Copy struct {
	rows    map[storage.RowKey]storage.PartRow
	version uint64
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), version: s.version.Number}
}

// ReturnFrom loses everything that was written after a copy. The store begins a new era, in
// which it gives out the later versions again, and has no history.
func (s *Store) ReturnFrom(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = storage.Version{Era: s.version.Era + 1, Number: c.version}
	s.rows = make(map[storage.RowKey]storage.PartRow, len(c.rows))
	for key, row := range c.rows {
		row.Era = s.version.Era
		s.rows[key] = row
	}
	s.history, s.oldest = nil, c.version
	s.notify()
}

// notify ends the wait of open feed calls.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a transaction if its preconditions hold.
func (s *Store) apply(txn storage.RowTxn) storage.RowOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Stats.Transactions++
	for _, c := range txn.Preconditions {
		if s.rows[c.RowKey].Number != c.Number {
			return s.conflict(txn)
		}
	}
	s.version.Number++
	for _, p := range txn.Puts {
		s.record(storage.PartRow{RowKey: p.RowKey, Value: slices.Clone(p.Value), Version: s.version})
	}
	for _, key := range txn.Removes {
		if _, ok := s.rows[key]; ok {
			s.record(storage.PartRow{RowKey: key, Version: s.version, Deleted: true})
		}
	}
	s.notify()
	return storage.RowOutcome{Applied: true, Version: s.version, Now: s.clock()}
}

func (s *Store) record(row storage.PartRow) {
	if row.Deleted {
		delete(s.rows, row.RowKey)
	} else {
		s.rows[row.RowKey] = row
	}
	s.history = append(s.history, row)
}

func (s *Store) conflict(txn storage.RowTxn) storage.RowOutcome {
	outcome := storage.RowOutcome{Version: s.version, Now: s.clock()}
	for _, c := range txn.Preconditions {
		if row, ok := s.rows[c.RowKey]; ok {
			outcome.Current = append(outcome.Current, row)
		}
	}
	return outcome
}

func (s *Store) scan(table, part, from string) storage.RowPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Stats.Reads++
	page := storage.RowPage{Version: s.version, Now: s.clock()}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b storage.PartRow) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Rows) > maxPageRows {
		page.Rows, page.More = page.Rows[:maxPageRows], true
	}
	return page
}

// maxPageRows is the largest number of rows in a page.
const maxPageRows = 500

func (s *Store) parts(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Stats.Reads++
	parts := make(map[string]struct{})
	for key := range s.rows {
		if key.Table == table {
			parts[key.Part] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(parts))
}

func (s *Store) feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	timeout := time.After(wait)
	for {
		page, changed, err := s.changes(table, since)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", storage.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) changes(table string, since storage.Version) (storage.RowPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Stats.Feeds++
	page := storage.RowPage{Version: s.version, Now: s.clock()}
	if since.Number < s.oldest || since.Number > s.version.Number {
		return page, nil, fmt.Errorf("feed of %s since %d: %w", table, since.Number, storage.ErrHistoryGone)
	}
	for _, row := range s.history {
		if row.Number > since.Number && row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}
