package sharedread

import (
	"context"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

// Applied passes on the changes that Feed has returned. It must be called with each page of a
// table with Options.ChangesOnly, in order, once the host has applied it.
func (r *Rows) Applied(page storage.RowPage) {
	changed := make([]storage.PartRow, 0, len(page.Rows))
	for _, row := range page.Rows {
		row.Key = changeKey(row.RowKey)
		changed = append(changed, row)
	}
	state := watch.State{}
	if r.publication.isLoaded() { // else changes are passed on from this version
		state.Changed = changed
	}
	r.Publish(state)
	if r.publication.isLoaded() {
		r.publication.confirm(r.confirmed.version, r.confirmed.at)
	}
	at := r.confirmed.at
	r.confirmedAt.Store(&at)
}

// Shared reports whether this host reads changes from others, or passes them on.
func (r *Rows) Shared() bool {
	mode := r.policy.mode(time.Now())
	return mode == Reader || mode == Follower
}

// decideNow takes the membership into account without waiting for it.
func (r *Rows) decideNow() {
	if r.policy.membersDue(time.Now()) {
		r.policy.update(r.options.Members(), time.Now())
	}
}

// scanned forgets the changes that are passed on: those until the scan are missing among them.
func (r *Rows) scanned() { r.publication.clear() }

// feedChanges is Feed for a table of which only changes are passed on.
func (r *Rows) feedChanges(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	r.decideNow()
	if since.NewerThan(r.known) {
		r.known = since
	}
	if since.Era < r.options.Newest().Era || r.currentMode() != Follower {
		return r.feedStoreInTime(ctx, table, since, wait)
	}
	page, err := r.ask(ctx, Request{Era: since.Era, Number: since.Number, HoldMs: min(wait, holdTime).Milliseconds()})
	if err == nil || ctx.Err() != nil {
		for i := range page.Rows {
			page.Rows[i].RowKey = changedRowKey(page.Rows[i].RowKey)
		}
		return page, err
	}
	r.fallBack(ctx) // also if the reader lacks changes that the feed of the store still has
	return r.feedStoreInTime(ctx, table, since, wait)
}

// storeCallTimeout bounds a read of changes from the store, in addition to its wait. It is that of
// pkg/escrow for its other reads; what asking other hosts takes is not part of it.
const storeCallTimeout = 1200 * time.Millisecond

// feedStoreInTime is feedStore with a time limit.
func (r *Rows) feedStoreInTime(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	wait = min(wait, readerWait)
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	return r.feedStore(ctx, table, since, wait)
}

// changeKey returns the key under which a row of a table with several parts is passed on. Rows of
// two parts may have the same key.
func changeKey(key storage.RowKey) string { return key.Part + "/" + key.Key }

// changedRowKey returns the key of a row that was passed on.
func changedRowKey(passed storage.RowKey) storage.RowKey {
	part, key, _ := strings.Cut(passed.Key, "/")
	return storage.RowKey{Table: passed.Table, Part: part, Key: key}
}
