package sharedread

import (
	"bytes"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// publication is what a host passes on: the content of the rows of a table, with the version at
// which each last changed. It handles rows that are rewritten every second with the same content.
// It is safe for concurrent use; its methods are given the time.
type publication struct {
	mu          sync.Mutex
	loaded      bool
	invalid     bool // changes of the table may be missing in rows
	rows        map[string]*publishedRow
	version     storage.Version // version that rows are of
	oldest      storage.Version // changes since an earlier version are not known
	newest      storage.Version // newest version of a change of the content
	confirmedAt time.Time       // time at which the store had version
	changed     chan struct{}   // closed and replaced with each change of the content or of version
	copied      []byte          // the whole table as Reply.Packed; nil: not encoded since the last change
}

// publishedRow is a row or its removal.
type publishedRow struct {
	content   []byte // nil: the row is deleted
	version   storage.Version
	written   storage.Version // version of the last write, also of one of the same content
	deletedAt time.Time
}

func newPublication() *publication {
	return &publication{rows: make(map[string]*publishedRow), changed: make(chan struct{})}
}

// clear forgets everything.
func (p *publication) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loaded {
		p.loaded, p.rows, p.copied = false, make(map[string]*publishedRow), nil
		p.version, p.oldest, p.newest = storage.Version{}, storage.Version{}, storage.Version{}
	}
}

// isLoaded reports whether the publication has a copy of the table.
func (p *publication) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// isValid reports whether no change of the table is missing.
func (p *publication) isValid() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.invalid
}

// invalidate records that changes of the table may be missing. The versions of the copy stay as
// they are until the whole table is given, and calls that wait for a change end.
func (p *publication) invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.invalid = true
	p.wake()
}

// wake lets the calls that wait for a change look again.
func (p *publication) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// replace compares the copy with the whole table, as of a version, which makes it valid again.
func (p *publication) replace(rows map[string]storage.PartRow, version storage.Version, now time.Time, content func(storage.PartRow) []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make([]storage.PartRow, 0, len(rows))
	for _, row := range rows {
		changed = append(changed, row)
	}
	for key := range p.rows {
		if _, exists := rows[key]; !exists {
			changed = append(changed, storage.PartRow{RowKey: storage.RowKey{Key: key}, Deleted: true}) // at the latest at version
		}
	}
	p.applyRows(changed, version, now, content)
	p.invalid = false
}

// load sets all rows, as of a version. content returns the content of a value.
func (p *publication) load(rows map[string]storage.PartRow, version storage.Version, content func(storage.PartRow) []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = make(map[string]*publishedRow, len(rows))
	for key, row := range rows {
		p.rows[key] = &publishedRow{content: content(row), version: row.Version, written: row.Version}
	}
	p.loaded, p.invalid, p.copied = true, false, nil
	p.version, p.oldest, p.newest = version, version, version
}

// apply applies changed rows, which bring the copy to a version. An invalid copy stays as it is.
func (p *publication) apply(changed []storage.PartRow, version storage.Version, now time.Time, content func(storage.PartRow) []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.invalid {
		p.applyRows(changed, version, now, content)
	}
}

func (p *publication) applyRows(changed []storage.PartRow, version storage.Version, now time.Time, content func(storage.PartRow) []byte) {
	for _, row := range changed {
		if row.Deleted {
			p.remove(row, version, now)
			continue
		}
		p.put(row, content(row))
	}
	if version.Era != p.version.Era {
		p.oldest = version // versions of two eras cannot be compared by their number
	}
	if version.NewerThan(p.version) {
		p.version = version
	}
	p.forgetRemovals(now)
}

func (p *publication) put(row storage.PartRow, content []byte) {
	known := p.rows[row.Key]
	if known == nil {
		known = &publishedRow{}
		p.rows[row.Key] = known
	}
	known.written = row.Version
	// The version of an earlier era would make an asking host keep what it knew of that era.
	if known.content != nil && bytes.Equal(known.content, content) && known.version.Era == row.Era {
		return
	}
	known.content, known.version = content, row.Version
	p.recordChange(row.Version)
}

// recordChange records the version of a change of the content.
func (p *publication) recordChange(version storage.Version) {
	p.copied = nil
	if version.NewerThan(p.newest) {
		p.newest = version
	}
}

// remove removes a row. A scan finds only that the row is missing, with the version of its last
// write: it was removed at the latest at the version of the scan.
func (p *publication) remove(row storage.PartRow, version storage.Version, now time.Time) {
	known := p.rows[row.Key]
	if known == nil || known.content == nil {
		return
	}
	removedAt := row.Version
	if !removedAt.NewerThan(known.written) {
		removedAt = version
	}
	p.rows[row.Key] = &publishedRow{version: removedAt, written: removedAt, deletedAt: now}
	p.recordChange(removedAt)
}

func (p *publication) forgetRemovals(now time.Time) {
	for key, row := range p.rows {
		if row.content == nil && now.Sub(row.deletedAt) > removedTTL {
			delete(p.rows, key)
			if row.version.NewerThan(p.oldest) {
				p.oldest = row.version
			}
		}
	}
}

// confirm records that the store had a version at a time. All rows of it are applied, unless the
// copy is invalid.
func (p *publication) confirm(version storage.Version, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.invalid {
		return
	}
	if version.NewerThan(p.version) {
		p.version = version
	}
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
	p.wake()
}

// age returns the time since the store has confirmed the copy.
func (p *publication) age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.confirmedAt)
}

// await returns a channel that is closed with the next confirmation.
func (p *publication) await() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// copyTable returns a reply with all rows.
func (p *publication) copyTable(now time.Time) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.reply(now)
	if p.copied != nil {
		reply.Packed = p.copied
		return reply, nil
	}
	rows := make([]wireRow, 0, len(p.rows))
	for key, row := range p.rows {
		if row.content != nil {
			rows = append(rows, row.wire(key))
		}
	}
	packed, err := compressor.pack(rows)
	if err != nil {
		return Reply{}, err
	}
	p.copied, reply.Packed = packed, packed
	return reply, nil
}

// changes answers a request with the rows that have changed since a version. It returns
// storage.ErrHistoryGone if these are not known, and errEarlierEra if the request knows a later
// era.
func (p *publication) changes(request Request, now time.Time) (Reply, []wireRow, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := request.since()
	switch {
	case since.Era > p.version.Era:
		return Reply{}, nil, errEarlierEra
	case since.Era < p.version.Era, p.oldest.NewerThan(since):
		return Reply{}, nil, storage.ErrHistoryGone
	}
	var rows []wireRow
	if p.newest.NewerThan(since) { // else the rows need not be looked through, at each of some hundred calls a second
		for key, row := range p.rows {
			if row.version.NewerThan(since) {
				rows = append(rows, row.wire(key))
			}
		}
	}
	for _, key := range request.Awaits {
		if row := p.rows[key]; row != nil && !row.version.NewerThan(since) && row.written.NewerThan(since) {
			awaited := row.wire(key)
			awaited.Number = row.written.Number
			rows = append(rows, awaited)
		}
	}
	return p.reply(now), rows, nil
}

func (p *publication) reply(now time.Time) Reply {
	return Reply{Era: p.version.Era, Number: p.version.Number, AgeUs: now.Sub(p.confirmedAt).Microseconds()}
}

// wire returns the row as it is passed on.
func (r *publishedRow) wire(key string) wireRow {
	return wireRow{Key: key, Number: r.version.Number, Content: r.content}
}
