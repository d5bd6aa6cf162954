package era

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// unusedNumber is a version number that no row has. A condition on a version of an earlier
// era asks for it in place of its own number, which may have been given out again: the store
// then answers with the rows of the new era. It is the largest number that every JSON
// decoder represents exactly.
const unusedNumber = 1<<53 - 1

// errorLogInterval is the shortest time between two log lines about invalid eras.
const errorLogInterval = 5 * time.Second

// Rows passes calls on to a store and checks the era of each answer. It is safe for
// concurrent use.
type Rows struct {
	rows storage.Rows
	log  *log.Logger
	// Changed is called when an answer is the first one of a later era, before its caller
	// receives it. It must be set before the first call and must not block. Nil: not called.
	Changed func(before, now storage.Version)

	mu            sync.Mutex
	answered      bool            // an answer was received
	newest        storage.Version // newest version of all answers
	current       context.Context // ends with the era of newest
	endCurrent    context.CancelFunc
	errorLoggedAt time.Time
}

var _ storage.Rows = (*Rows)(nil)

// New returns a Rows that passes calls on to rows.
func New(rows storage.Rows, logger *log.Logger) *Rows {
	r := &Rows{rows: rows, log: logger}
	r.current, r.endCurrent = context.WithCancel(context.Background())
	return r
}

// Newest returns the newest version that an answer has had.
func (r *Rows) Newest() storage.Version {
	newest, _ := r.state()
	return newest
}

// state returns the newest version, and a context that ends with its era.
func (r *Rows) state() (storage.Version, context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest, r.current
}

// Transact implements storage.Rows. A condition on a version of an earlier era fails. If a
// new era begins while the call is on its way, the outcome is unknown: the condition may
// hold for another state than the one that was read.
func (r *Rows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	before := r.Newest()
	txn.Preconditions = withoutEarlierEras(txn.Preconditions, before.Era)
	outcome, err := r.rows.Transact(ctx, txn)
	if err := r.check(before, outcome.Version, err); err != nil {
		return storage.RowOutcome{}, err
	}
	conditionOfOtherEra := func(c storage.Precondition) bool { return !isFree(c) && c.Era != outcome.Era }
	if outcome.Applied && slices.ContainsFunc(txn.Preconditions, conditionOfOtherEra) {
		return storage.RowOutcome{}, fmt.Errorf("%w: applied in era %d under a condition of another era", storage.ErrUnavailable, outcome.Era)
	}
	return outcome, nil
}

// isFree reports whether a condition does not depend on anything that was read: it requires
// that a row is absent, in any era.
func isFree(c storage.Precondition) bool { return c.Version == storage.Version{} }

// withoutEarlierEras returns the conditions with those of earlier eras replaced by ones that
// cannot hold.
func withoutEarlierEras(conditions []storage.Precondition, newest uint64) []storage.Precondition {
	conditions = slices.Clone(conditions)
	for i, c := range conditions {
		if !isFree(c) && c.Era < newest {
			conditions[i].Version = storage.Version{Era: newest, Number: unusedNumber}
		}
	}
	return conditions
}

// Range implements storage.Rows.
func (r *Rows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	before := r.Newest()
	page, err := r.rows.Range(ctx, table, part, from)
	if err := r.check(before, page.Version, err); err != nil {
		return storage.RowPage{}, err
	}
	return page, nil
}

// Parts implements storage.Rows. The names of parts have no version.
func (r *Rows) Parts(ctx context.Context, table string) ([]string, error) {
	return r.rows.Parts(ctx, table)
}

// Feed implements storage.Rows. There is no history since a version of another era. A call
// that waits for a change ends when another call finds that a new era has begun: the store
// knows only the number, and may have given it out again.
func (r *Rows) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	before, current := r.state()
	if since.Era < before.Era {
		return storage.RowPage{}, historyGone(table, since, before)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(current, cancel)()
	page, err := r.rows.Feed(ctx, table, since, wait)
	if err := r.check(before, page.Version, err); err != nil {
		if newest := r.Newest(); newest.Era > since.Era {
			return storage.RowPage{}, historyGone(table, since, newest)
		}
		return storage.RowPage{}, err
	}
	if page.Era != since.Era {
		return storage.RowPage{}, historyGone(table, since, page.Version)
	}
	return page, nil
}

func historyGone(table string, since, now storage.Version) error {
	return fmt.Errorf("%w: feed of %s since version %d of era %d, the store is in era %d", storage.ErrHistoryGone, table, since.Number, since.Era, now.Era)
}

// check checks the version of an answer to a call, before which the given one was the newest.
// It returns the error of the call, or an error if the answer must not be used.
func (r *Rows) check(before, answer storage.Version, err error) error {
	if errors.Is(err, storage.ErrInvalidEra) {
		r.logError(err)
	}
	if err != nil {
		return err
	}
	previous, began := r.record(answer)
	switch {
	case began:
		r.log.Warn().Uint64("era", answer.Era).Uint64("previous_era", previous.Era).Uint64("version", answer.Number).Uint64("previous_version", previous.Number).Msg("Store has returned from an older copy. Tables are read again.")
		if r.Changed != nil {
			r.Changed(previous, answer)
		}
	case answer.Era < before.Era:
		err = fmt.Errorf("%w: answer of era %d after one of era %d", storage.ErrUnavailable, answer.Era, before.Era)
		r.logError(err)
	case answer.Era < previous.Era: // it was on its way when the new era began
		err = fmt.Errorf("%w: late answer of era %d, the store is in era %d", storage.ErrUnavailable, answer.Era, previous.Era)
	}
	return err
}

// record records the version of an answer. It returns the newest version before, and whether
// the answer is the first one of a new era.
func (r *Rows) record(answer storage.Version) (previous storage.Version, began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, began = r.newest, r.answered && answer.Era > r.newest.Era
	r.answered = true
	if began {
		r.endCurrent()
		r.current, r.endCurrent = context.WithCancel(context.Background())
	}
	if answer.NewerThan(r.newest) {
		r.newest = answer
	}
	return previous, began
}

func (r *Rows) logError(err error) {
	r.mu.Lock()
	due := time.Since(r.errorLoggedAt) >= errorLogInterval
	if due {
		r.errorLoggedAt = time.Now()
	}
	r.mu.Unlock()
	if due {
		r.log.Error().Err(err).Msg("Store names an era that cannot be right. Its answer is not used.")
	}
}
