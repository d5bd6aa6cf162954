package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/idle"
	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// feedResponseMargin is added to the wait time of a feed call for the response. The
	// transfer of a large response may take longer as long as data arrives.
	feedResponseMargin = 800 * time.Millisecond
	// scanTimeout bounds the time without data while a page of a scan is read.
	scanTimeout = 3 * time.Second
	// maxCallTime bounds a call whose response arrives very slowly. A new call may get a
	// better connection.
	maxCallTime = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, before
	// random jitter is added.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxFeedGap is the time without a successful call after which the table is scanned
	// instead of following the feed, which returns every version that a row had since.
	maxFeedGap = 2 * time.Second
	// failureLogInterval is the shortest time between two log lines about failed calls, or
	// about superseded versions.
	failureLogInterval = 5 * time.Second
)

// Options are the settings of a Watcher.
type Options struct {
	Rows  storage.Rows
	Table string
	// Wait is how long a feed call waits for a change.
	Wait time.Duration
	// Pause is the time between two feed calls. It limits the call rate for a table
	// that changes continuously.
	Pause time.Duration
	// NextPause returns Pause where that depends on what Rows reads from. Nil: Pause is used.
	NextPause func() time.Duration
	// Apply is called with each new state, in order, from one goroutine. It is also
	// called after the first successful store call that follows failed ones, even if the
	// state has not changed. If it fails or panics, what was applied before stays in use.
	Apply func(State) error
	// Confirmed is called after each successful store call, once its result is applied: the
	// state is then the one of the store. Nil: not called.
	Confirmed func()
	// Failed is called when a state could not be applied. The table is then read again, and
	// Confirmed is not called until a state with State.Recovered was applied. Nil: the failure
	// is only logged.
	Failed func()
	Log    *log.Logger
}

// State is a copy of the table.
type State struct {
	Rows map[string]storage.PartRow // by key; must not be modified
	// Changed holds the rows that differ from the previous state, including deleted
	// ones.
	Changed []storage.PartRow
	// Returned means that the store has returned from an older copy, and that this is the
	// first state read from it since: rows may be older than those of the state before, or
	// missing.
	Returned bool
	// Recovered means that the whole table was read after states that could not be applied, and
	// that Changed holds their rows too.
	Recovered bool
}

// Watcher keeps a copy of one table.
type Watcher struct {
	options         Options
	rows            map[string]storage.PartRow
	version         storage.Version
	scanned         bool // the feed can continue from version
	applied         bool // a state was passed on
	failed          failedBatches
	succeededAt     time.Time
	failing         bool
	failureLoggedAt time.Time
	failures        int

	supersededLoggedAt time.Time
}

// New returns a watcher with an empty copy.
func New(o Options) *Watcher {
	return &Watcher{options: o, rows: make(map[string]storage.PartRow)}
}

// Run keeps the copy up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := w.update(ctx)
		switch {
		case err == nil:
			w.recordSuccess()
			delay = minRetryDelay
			pause.For(ctx, w.pause())
		case errors.Is(err, storage.ErrHistoryGone):
			w.options.Log.Info().Str("table", w.options.Table).Uint64("version", w.version.Number).Uint64("era", w.version.Era).Msg("Feed does not have the changes since this version. The table is scanned again.")
			w.scanned = false
		default:
			w.recordFailure(err)
			if w.scanned && time.Since(w.succeededAt) > w.options.Wait+maxFeedGap {
				w.scanned = false
			}
			pause.For(ctx, delay+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

func (w *Watcher) pause() time.Duration {
	if w.options.NextPause != nil {
		return w.options.NextPause()
	}
	return w.options.Pause
}

func (w *Watcher) update(ctx context.Context) error {
	if !w.scanned || w.failed.due(time.Now()) {
		return w.scan(ctx)
	}
	ctx, cancel := idle.WithTimeouts(ctx, w.options.Wait+feedResponseMargin, maxCallTime)
	defer cancel()
	page, err := w.options.Rows.Feed(ctx, w.options.Table, w.version, w.options.Wait)
	if err != nil {
		return err
	}
	var changed []storage.PartRow
	for _, row := range page.Rows {
		if w.applyRow(row) {
			changed = append(changed, row)
		}
	}
	if page.NewerThan(w.version) {
		w.version = page.Version
	}
	if n := superseded(page.Rows); n > 0 && n*2 >= len(page.Rows) {
		w.logSuperseded(n, len(page.Rows))
		w.scanned = false
	}
	if len(changed) > 0 || w.failing { // the first state after failed calls is applied even if unchanged
		w.apply(changed, false, false)
	}
	return nil
}

// superseded returns the number of rows that are followed by a newer version of the same
// row. If these are half of a page, the table changes faster than it is read: the next page
// would be larger still, while a scan returns only the last version of each row.
func superseded(rows []storage.PartRow) int {
	keys := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		keys[row.Key] = struct{}{}
	}
	return len(rows) - len(keys)
}

func (w *Watcher) logSuperseded(superseded, rows int) {
	if time.Since(w.supersededLoggedAt) < failureLogInterval {
		return
	}
	w.supersededLoggedAt = time.Now()
	w.options.Log.Info().Str("table", w.options.Table).Int("superseded", superseded).Int("rows", rows).Msg("Feed returned versions that are superseded already: the table changes faster than it is read. It is scanned.")
}

// applyRow updates the copy with a row, unless the copy already has this version of
// the row or a newer one.
// It reports whether the copy changed.
func (w *Watcher) applyRow(row storage.PartRow) bool {
	if known, ok := w.rows[row.Key]; ok && !row.NewerThan(known.Version) {
		return false
	}
	if row.Deleted {
		delete(w.rows, row.Key)
		return true
	}
	w.rows[row.Key] = row
	return true
}

// scan replaces the copy. A scan that is older than the copy comes from a store
// that serves stale reads and is discarded. A scan of a later era replaces all rows: what the
// store lost when it returned from an older copy is not in the table.
func (w *Watcher) scan(ctx context.Context) error {
	rows := make(map[string]storage.PartRow)
	from, version := "", storage.Version{}
	for first := true; ; first = false {
		page, err := w.scanPage(ctx, from)
		if err != nil {
			return err
		}
		if first {
			version = page.Version
		}
		if page.Era != version.Era {
			return fmt.Errorf("%w: pages of a scan of table %s are of the eras %d and %d", storage.ErrHistoryGone, w.options.Table, version.Era, page.Era)
		}
		for _, row := range page.Rows {
			rows[row.Key] = row
			from = row.Key + "\x00"
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
	}
	if w.version.NewerThan(version) {
		return fmt.Errorf("%w: scan of table %s returned version %d, older than the known version %d", storage.ErrUnavailable, w.options.Table, version.Number, w.version.Number)
	}
	changed, returned := w.replace(rows), w.version.Era < version.Era && w.applied
	w.version, w.scanned = version, true
	w.apply(changed, returned, true)
	return nil
}

func (w *Watcher) scanPage(ctx context.Context, from string) (storage.RowPage, error) {
	ctx, cancel := idle.WithTimeouts(ctx, scanTimeout, maxCallTime)
	defer cancel()
	return w.options.Rows.Range(ctx, w.options.Table, "", from)
}

// replace replaces the copy with the rows of a scan and returns the rows that
// differ. A row of the copy that is newer than the scanned one is kept.
func (w *Watcher) replace(rows map[string]storage.PartRow) []storage.PartRow {
	var changed []storage.PartRow
	for key, known := range w.rows {
		if _, ok := rows[key]; !ok {
			known.Deleted = true
			changed = append(changed, known)
		}
	}
	for key, row := range rows {
		known, ok := w.rows[key]
		if ok && known.NewerThan(row.Version) {
			rows[key] = known
			continue
		}
		if !ok || known.Version != row.Version {
			changed = append(changed, row)
		}
	}
	w.rows = rows
	return changed
}

// apply passes the state on. A state that Apply cannot handle must not end the process:
// every process that reads it, also after a restart, would end. If Failed is set, the state of a
// whole table includes what could not be applied before.
func (w *Watcher) apply(changed []storage.PartRow, returned, whole bool) {
	w.applied = true
	state := State{Rows: w.rows, Changed: changed, Returned: returned}
	if whole && w.failed.open {
		state = State{Rows: w.rows, Changed: w.failed.merge(changed, w.rows), Returned: returned || w.failed.returned, Recovered: true}
	}
	err := w.applySafely(state)
	switch {
	case err != nil:
		w.options.Log.Error().Str("table", w.options.Table).Err(err).Msg("State of the table could not be applied. What was applied before stays in use.")
		if w.options.Failed != nil {
			w.failed.add(state.Changed, state.Returned, time.Now())
			w.options.Failed()
		}
	case state.Recovered:
		w.options.Log.Info().Str("table", w.options.Table).Int("rows", len(state.Changed)).Msg("Table was read again and its state applied.")
		w.failed.recover()
	default:
		w.failed.applied(changed)
	}
}

// applySafely calls Apply and returns its panic as an error.
func (w *Watcher) applySafely(s State) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return w.options.Apply(s)
}

func (w *Watcher) recordSuccess() {
	if w.failing {
		w.options.Log.Info().Str("table", w.options.Table).Int("failures", w.failures).Msg("Store answers calls for this table again.")
	}
	w.failing, w.failures, w.succeededAt = false, 0, time.Now()
	if w.options.Confirmed != nil && !w.failed.open {
		w.options.Confirmed()
	}
}

func (w *Watcher) recordFailure(err error) {
	w.failures++
	if !w.failing || time.Since(w.failureLoggedAt) >= failureLogInterval {
		w.options.Log.Warn().Err(err).Str("table", w.options.Table).Int("failures", w.failures).Msg("Store call failed. The last known state stays in use and the call is repeated.")
		w.failureLoggedAt = time.Now()
	}
	w.failing = true
}
