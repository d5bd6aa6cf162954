package sharedread

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/idle"
	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/relay"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

// Options are the settings of Rows.
type Options struct {
	Rows    storage.Rows // the store
	Table   string
	Self    Host
	Members func() Members
	// Newest returns the newest version that the store has answered with to this host.
	Newest func() storage.Version
	// Call asks another host for changes. An error wraps storage.ErrHistoryGone or
	// relay.ErrUnknownMethod if that is what the host says. Other calls to that host must not
	// wait for the transfer of a copy (Request.Copy).
	Call func(ctx context.Context, addr string, request Request) (Reply, error)
	// Content returns the content of a row of the store as a JSON value: rows with equal
	// content need not be passed on again.
	Content func(key string, value []byte) []byte
	// Value returns the value for a row of which another host has passed on the content.
	// Content returns the content for this value.
	Value func(content []byte) []byte
	// Awaits returns the keys of which each write must be passed on. Nil: there are none.
	Awaits func() []string
	// ChangesOnly means that the table has several parts and is scanned by each host for itself:
	// Feed reads changes from other hosts, and Applied takes the place of Publish and Confirm.
	// Feed does not wait until the other hosts are known.
	ChangesOnly bool
	// Pause is the time between two reads of the store.
	Pause    time.Duration
	Observer Observer // nil: nothing is told
	Log      *log.Logger
}

// Rows reads one table from the store or from other hosts. It is the storage.Rows of a
// watch.Watcher, or of another reader of the table, whose goroutine calls all its methods except
// Serve, Mode and Age.
type Rows struct {
	options     Options
	policy      *policy
	publication *publication
	copies      *copyQueue
	createdAt   time.Time
	copyBy      time.Time // until then the host asks readers for the copy that it needs; zero: not set
	busyAt      time.Time // when a reader was busy with copies for others
	known       storage.Version
	confirmed   confirmation
	table       map[string]storage.PartRow // the rows of the watcher

	confirmedAt atomic.Pointer[time.Time] // nil: never
	loggedAt    map[Cause]time.Time
	loggedMode  Mode
}

// confirmation is what a read has found, until it is applied.
type confirmation struct {
	version storage.Version
	at      time.Time
}

// logInterval is the shortest time between two log lines with the same cause.
const logInterval = 5 * time.Second

var _ storage.Rows = (*Rows)(nil)

// New returns a Rows. The time for which it waits for other hosts starts now.
func New(o Options) *Rows {
	if o.Observer == nil {
		o.Observer = ignore{}
	}
	if o.Awaits == nil {
		o.Awaits = func() []string { return nil }
	}
	now := time.Now()
	return &Rows{
		options: o, policy: newPolicy(o.Self, now, rand.Float64()), publication: newPublication(), copies: newCopyQueue(o.Self.LinkMbps), createdAt: now,
		copyBy: now.Add(firstCopyWait + rand.N(firstCopySpread)), loggedAt: make(map[Cause]time.Time),
	}
}

// Mode returns how this host reads the table.
func (r *Rows) Mode() Mode { return r.policy.mode(time.Now()) }

// Age returns the time since the store has confirmed what this host knows, to itself or to the
// reader that it asks; before that, the time since the start.
func (r *Rows) Age() time.Duration {
	if at := r.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(r.createdAt)
}

// Pause returns the time between two reads.
func (r *Rows) Pause() time.Duration {
	if r.policy.mode(time.Now()) == Follower && r.policy.next(time.Now()) != "" {
		return followPause
	}
	return r.options.Pause
}

// Transact implements storage.Rows.
func (r *Rows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	return r.options.Rows.Transact(ctx, txn)
}

// Parts implements storage.Rows.
func (r *Rows) Parts(ctx context.Context, table string) ([]string, error) {
	return r.options.Rows.Parts(ctx, table)
}

// Range implements storage.Rows. Its first page may be the whole table, from another host.
func (r *Rows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	if r.options.ChangesOnly {
		r.scanned()
	}
	if from != "" || r.options.ChangesOnly {
		return r.options.Rows.Range(ctx, table, part, from)
	}
	r.decide(ctx)
	if r.copyBy.IsZero() {
		r.copyBy = time.Now().Add(copyWait + rand.N(fallbackSpread))
	}
	for r.currentMode() == Follower {
		// The watcher may have ended a call that was still receiving a slow copy. The next one
		// reads the store, or such copies would keep this host without data.
		if r.copyLate(time.Now()) {
			r.report(CauseNoReader, "", errNoReader)
			break
		}
		page, err := r.ask(ctx, Request{Copy: true})
		if err == nil {
			r.copyBy = time.Time{}
		}
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		pause.For(ctx, startPoll)
		idle.Progress(ctx)
	}
	r.copyBy = time.Time{} // readers are asked again if the store does not answer
	sentAt := time.Now()
	page, err := r.options.Rows.Range(ctx, table, part, from)
	if err == nil {
		r.recordCopy(page.Version, sentAt)
	}
	return page, err
}

// copyLate reports whether this host no longer waits for a copy of a reader. A reader that is busy
// sends copies to others, and will send one to this host.
func (r *Rows) copyLate(now time.Time) bool {
	by := r.copyBy
	if r.known == (storage.Version{}) && now.Sub(r.busyAt) <= 2*startBackoff {
		by = by.Add(busyCopyWait)
	}
	return now.After(by)
}

// Feed implements storage.Rows.
func (r *Rows) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	if r.options.ChangesOnly {
		return r.feedChanges(ctx, table, since, wait)
	}
	r.decide(ctx)
	mode := r.currentMode()
	if newest := r.options.Newest(); mode != Direct && since.Era < newest.Era {
		return storage.RowPage{}, fmt.Errorf("%w: asked since era %d, the store is in era %d", storage.ErrHistoryGone, since.Era, newest.Era)
	}
	if mode == Follower {
		page, err := r.ask(ctx, Request{Era: since.Era, Number: since.Number, HoldMs: min(wait, holdTime).Milliseconds(), Awaits: r.options.Awaits()})
		if err == nil || ctx.Err() != nil || errors.Is(err, storage.ErrHistoryGone) {
			return page, err
		}
		r.fallBack(ctx)
	}
	if mode != Direct {
		wait = min(wait, readerWait)
	}
	return r.feedStore(ctx, table, since, wait)
}

// feedStore reads changes from the store.
func (r *Rows) feedStore(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	sentAt := time.Now()
	page, err := r.options.Rows.Feed(ctx, table, since, wait)
	if err != nil {
		return page, err
	}
	if len(page.Rows) == 0 && time.Since(sentAt) >= wait {
		sentAt = sentAt.Add(wait) // the store has found no change until then
	}
	r.record(page.Version, sentAt)
	return page, nil
}

// decide takes the membership into account. It waits while that is not known at the start.
func (r *Rows) decide(ctx context.Context) {
	for ctx.Err() == nil && r.policy.membersDue(time.Now()) {
		r.policy.update(r.options.Members(), time.Now())
		if r.policy.mode(time.Now()) != Undecided {
			return
		}
		pause.For(ctx, startPoll)
		idle.Progress(ctx)
	}
}

// currentMode returns how this host reads the table, and logs changes of that.
func (r *Rows) currentMode() Mode {
	mode := r.policy.mode(time.Now())
	if mode != r.loggedMode {
		r.options.Log.Info().Str("table", r.options.Table).Str("mode", string(mode)).Str("previous_mode", string(r.loggedMode)).Msg("Way of reading the table changes.")
		r.loggedMode = mode
	}
	return mode
}

// ask asks readers, one after the other. Only the first may hold the call: the others are asked
// because a change may be late already. An error means that none can be asked now, or is
// storage.ErrHistoryGone.
func (r *Rows) ask(ctx context.Context, request Request) (storage.RowPage, error) {
	failed := errNoReader
	for ; ctx.Err() == nil; request.HoldMs = 0 {
		addr := r.policy.next(time.Now())
		if addr == "" {
			return storage.RowPage{}, failed
		}
		page, err := r.askOne(ctx, addr, request)
		idle.Progress(ctx) // the time limit of the caller is for one attempt
		if err == nil || errors.Is(err, storage.ErrHistoryGone) {
			r.policy.answered(addr)
			return page, err
		}
		cause := causeOf(err)
		if cause == CauseBusy {
			r.busyAt = time.Now()
		}
		r.policy.failed(addr, r.backoff(cause), time.Now())
		r.report(cause, addr, err)
		failed = err
	}
	return storage.RowPage{}, ctx.Err()
}

// backoff returns how long a reader is not asked after a failure with a cause.
func (r *Rows) backoff(cause Cause) backoff {
	switch {
	case cause == CauseUnknownMethod:
		return backoff{least: unknownMethodBackoff, most: unknownMethodBackoff}
	case cause == CauseEarlierEra, cause == CauseNoCopy, cause == CauseBusy, r.known == storage.Version{}:
		return backoff{least: startBackoff, most: startBackoff}
	}
	return backoff{least: minBackoff, most: maxBackoff}
}

var errNoReader = errors.New("no other host can be asked")

// askOne asks one reader and checks that its answer can be used.
func (r *Rows) askOne(ctx context.Context, addr string, request Request) (storage.RowPage, error) {
	timeout := copyTimeout
	if !request.Copy {
		timeout = time.Duration(request.HoldMs)*time.Millisecond + callMargin
	}
	ctx, cancel := idle.WithTimeouts(ctx, timeout, maxCopyTime)
	defer cancel()
	sentAt := time.Now()
	reply, err := r.options.Call(ctx, addr, request)
	if err != nil {
		return storage.RowPage{}, err
	}
	now := time.Now()
	confirmedAt := now.Add(-ageAt(reply, now.Sub(sentAt)))
	rows, err := reply.rows()
	if err != nil {
		return storage.RowPage{}, err
	}
	version := reply.version()
	if err := r.check(request, version, now.Sub(confirmedAt), len(rows)); err != nil {
		return storage.RowPage{}, err
	}
	if !request.Copy && version.Era != request.Era {
		return storage.RowPage{}, fmt.Errorf("%w: reader is in era %d, asked since one of era %d", storage.ErrHistoryGone, version.Era, request.Era)
	}
	page := storage.RowPage{Version: version}
	for _, row := range rows {
		passed := storage.PartRow{RowKey: storage.RowKey{Table: r.options.Table, Key: row.Key}, Version: storage.Version{Era: version.Era, Number: row.Number}, Deleted: row.Content == nil}
		if !passed.Deleted {
			passed.Value = r.options.Value(row.Content)
		}
		page.Rows = append(page.Rows, passed)
	}
	if request.Copy {
		r.recordCopy(version, confirmedAt)
	} else {
		r.record(version, confirmedAt)
	}
	return page, nil
}

// ageAt returns the age of an answer at its arrival, at most. The call took the given time, of
// which the reader has held it for some; the rest it was on its way, or a process was frozen.
func ageAt(reply Reply, took time.Duration) time.Duration {
	return max(0, reply.age()) + max(0, took-max(0, reply.held()))
}

// check returns why an answer cannot be used. Changes are used also if they are late. A reader
// that was not given time to catch up may be slightly behind what this host knows.
func (r *Rows) check(request Request, version storage.Version, age time.Duration, changes int) error {
	switch {
	case version.Era < r.options.Newest().Era || version.Era < r.known.Era:
		return errEarlierEra
	case r.known.NewerThan(version) && (request.Copy || request.HoldMs > 0):
		return errLagging
	case age > maxAge && changes == 0:
		return errStale
	}
	return nil
}

// causeOf returns the cause for an error of a reader. Errors of another host arrive as text.
func causeOf(err error) Cause {
	for known, cause := range map[error]Cause{errNoCopy: CauseNoCopy, errInvalidCopy: CauseInvalidCopy, errBusy: CauseBusy, errStale: CauseStale, errLagging: CauseLagging, errEarlierEra: CauseEarlierEra} {
		if strings.Contains(err.Error(), known.Error()) {
			return cause
		}
	}
	if errors.Is(err, relay.ErrUnknownMethod) {
		return CauseUnknownMethod
	}
	return CauseNoAnswer
}

// fallBack prepares a read of the store because no reader has answered. The hosts that do so at
// the same time spread their reads.
func (r *Rows) fallBack(ctx context.Context) {
	r.report(CauseNoReader, "", errNoReader)
	pause.For(ctx, rand.N(fallbackSpread))
	idle.Progress(ctx)
}

// record records what a read of changes has found. A reader may be slightly behind what this host
// knows; its answer does not make that older.
func (r *Rows) record(version storage.Version, at time.Time) {
	if version.NewerThan(r.known) {
		r.known = version
	}
	if version.NewerThan(r.confirmed.version) {
		r.confirmed.version = version
	}
	if at.After(r.confirmed.at) {
		r.confirmed.at = at
	}
}

// recordCopy records what the first page of a read of the table has found. It replaces what a
// read has found that failed at a later page.
func (r *Rows) recordCopy(version storage.Version, at time.Time) {
	if version.NewerThan(r.known) {
		r.known = version
	}
	r.confirmed = confirmation{version: version, at: at}
}

// Publish passes a state of the table on. It must be called with each state of the watcher.
func (r *Rows) Publish(s watch.State) {
	r.table = s.Rows
	if mode := r.policy.mode(time.Now()); mode == Direct || mode == Undecided {
		r.publication.clear()
		return
	}
	if !r.publication.isLoaded() {
		r.publication.load(s.Rows, r.confirmed.version, r.content)
		return
	}
	if s.Recovered {
		r.publication.replace(s.Rows, r.confirmed.version, time.Now(), r.content)
		return
	}
	r.publication.apply(s.Changed, r.confirmed.version, time.Now(), r.content)
}

// Invalidate stops passing the table on until a state with watch.State.Recovered is published. It
// must be called when the host could not apply a state: its rows may not have been published.
func (r *Rows) Invalidate() { r.publication.invalidate() }

// Confirm passes on that the store has confirmed the state. It must be called after each read
// of the watcher, once its result is published.
func (r *Rows) Confirm() {
	at := r.confirmed.at
	r.confirmedAt.Store(&at)
	if !r.publication.isLoaded() && r.table != nil && r.policy.mode(time.Now()) != Direct { // sharing has begun and nothing has changed since
		r.publication.load(r.table, r.confirmed.version, r.content)
	}
	if r.publication.isLoaded() {
		r.publication.confirm(r.confirmed.version, r.confirmed.at)
	}
}

func (r *Rows) content(row storage.PartRow) []byte { return r.options.Content(row.Key, row.Value) }

// report counts and logs that a reader was left, or that the store is read.
func (r *Rows) report(cause Cause, addr string, err error) {
	r.options.Observer.FellBack(cause)
	if time.Since(r.loggedAt[cause]) < logInterval {
		return
	}
	r.loggedAt[cause] = time.Now()
	if cause == CauseNoReader {
		r.options.Log.Info().Str("table", r.options.Table).Dur("age", r.Age()).Msg("No reader of the table can be asked. The table is read from the store.")
		return
	}
	r.options.Log.Info().Str("table", r.options.Table).Str("peer", addr).Str("cause", string(cause)).Err(err).Dur("age", r.Age()).Msg("Reader of the table gave no usable answer. Another one is asked.")
}
