package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// answerMargin is added to the wait of a feed call for its answer.
	answerMargin = 800 * time.Millisecond
	// scanTimeout bounds a whole scan.
	scanTimeout = 3 * time.Second
	// Pauses after failed calls.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// quietPeriod between two log lines about a lost store.
	quietPeriod = 5 * time.Second
)

// Options are the settings of a Watcher.
type Options struct {
	Rows  storage.Rows
	Table string
	// Wait is how long a feed call waits for a change.
	Wait time.Duration
	// Pause is the time between two feed calls. It bounds the calls on a table
	// that changes all the time.
	Pause time.Duration
	// Apply gets each new state in turn. It is called from one goroutine.
	Apply func(State)
	Log   *log.Logger
}

// State is a copy of the table.
type State struct {
	Rows map[string]storage.PartRow // by key; must not be changed
	// Changed holds the rows of the last step, deleted ones included.
	Changed []storage.PartRow
}

// Watcher follows one table.
type Watcher struct {
	options  Options
	rows     map[string]storage.PartRow
	version  uint64
	scanned  bool // the feed can go on from version
	failing  bool
	loggedAt time.Time
	failures int
}

// New returns a watcher that knows nothing yet.
func New(o Options) *Watcher {
	return &Watcher{options: o, rows: make(map[string]storage.PartRow)}
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delay := firstPause
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case err == nil:
			w.succeeded()
			delay = firstPause
			pause.For(ctx, w.options.Pause)
		case errors.Is(err, storage.ErrHistoryGone):
			w.options.Log.Info().Str("table", w.options.Table).Uint64("version", w.version).Msg("Feed lost its history. Scanning again.")
			w.scanned = false
		default:
			w.failed(err)
			pause.For(ctx, delay+rand.N(delay))
			delay = min(2*delay, maxPause)
		}
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.scanned {
		return w.scan(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, w.options.Wait+answerMargin)
	defer cancel()
	page, err := w.options.Rows.Feed(ctx, w.options.Table, w.version, w.options.Wait)
	if err != nil {
		return err
	}
	var changed []storage.PartRow
	for _, row := range page.Rows {
		if w.take(row) {
			changed = append(changed, row)
		}
	}
	w.version = max(w.version, page.Version)
	if len(changed) > 0 || w.failing {
		w.apply(changed)
	}
	return nil
}

// take applies a row unless a newer one is known.
func (w *Watcher) take(row storage.PartRow) bool {
	if known, ok := w.rows[row.Key]; ok && known.Version >= row.Version {
		return false
	}
	if row.Deleted {
		delete(w.rows, row.Key)
		return true
	}
	w.rows[row.Key] = row
	return true
}

// scan replaces the copy. A scan that is older than the copy comes from a
// store that answers with stale reads and is refused.
func (w *Watcher) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	rows := make(map[string]storage.PartRow)
	from, version := "", uint64(0)
	for {
		page, err := w.options.Rows.Range(ctx, w.options.Table, "", from)
		if err != nil {
			return err
		}
		if version == 0 {
			version = page.Version
		}
		for _, row := range page.Rows {
			rows[row.Key] = row
			from = row.Key + "\x00"
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
	}
	if version < w.version {
		return fmt.Errorf("%w: scan of %s is at version %d, known is %d", storage.ErrUnavailable, w.options.Table, version, w.version)
	}
	changed := w.replace(rows)
	w.version, w.scanned = version, true
	w.apply(changed)
	return nil
}

// replace takes over the rows of a scan and returns what differs.
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
		if ok && known.Version > row.Version {
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

func (w *Watcher) apply(changed []storage.PartRow) {
	w.options.Apply(State{Rows: w.rows, Changed: changed})
}

func (w *Watcher) succeeded() {
	if w.failing {
		w.options.Log.Info().Str("table", w.options.Table).Int("failures", w.failures).Msg("Store answers again.")
	}
	w.failing, w.failures = false, 0
}

func (w *Watcher) failed(err error) {
	w.failures++
	if !w.failing || time.Since(w.loggedAt) >= quietPeriod {
		w.options.Log.Warn().Err(err).Str("table", w.options.Table).Int("failures", w.failures).Msg("Store does not answer. Last state stays in force.")
		w.loggedAt = time.Now()
	}
	w.failing = true
}
