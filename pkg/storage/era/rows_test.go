package era

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

var key = storage.RowKey{Table: "accounts", Part: "p", Key: "k"}

func discardLog() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

func put(condition storage.Version, value string) storage.RowTxn {
	return storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: condition}},
		Puts:          []storage.PartRow{{RowKey: key, Value: []byte(value)}},
	}
}

func write(t *testing.T, r *Rows, condition storage.Version, value string) storage.RowOutcome {
	t.Helper()
	outcome, err := r.Transact(t.Context(), put(condition, value))
	assert.NilError(t, err)
	return outcome
}

// returnWithSameNumber makes a store return from a copy that lacks the row's last value, and
// write another value under the version number of the lost one.
func returnWithSameNumber(store *rowstore.Store, c rowstore.Copy, value string) storage.Version {
	store.ReturnFrom(c)
	store.Put(key, []byte(value))
	return store.Get(key).Version
}

// Guards against a write that is based on a lost row and replaces a row that has got the lost row's version number.
func TestConditionalWriteOfEarlierEraIsNotApplied(t *testing.T) {
	store := rowstore.New(nil)
	r := New(store.Client(), discardLog())
	write(t, r, storage.Version{}, "before")
	c := store.Copy()
	lost := write(t, r, store.Get(key).Version, "lost").Version
	again := returnWithSameNumber(store, c, "again")
	assert.Equal(t, again.Number, lost.Number)
	_, err := r.Range(t.Context(), key.Table, key.Part, "")
	assert.NilError(t, err)
	outcome := write(t, r, lost, "based on the lost value")
	assert.Assert(t, !outcome.Applied)
	assert.Equal(t, string(outcome.Current[0].Value), "again")
	assert.Equal(t, outcome.Current[0].Version, again)
	assert.Equal(t, string(store.Get(key).Value), "again")
	assert.Assert(t, write(t, r, again, "based on the new value").Applied)
}

// Guards against the same write when it is on its way while the store returns: whether it is meant for the row that it replaces is not known.
func TestOutcomeOfWriteAcrossReturnIsUnknown(t *testing.T) {
	store := rowstore.New(nil)
	r := New(store.Client(), discardLog())
	write(t, r, storage.Version{}, "before")
	c := store.Copy()
	lost := write(t, r, store.Get(key).Version, "lost").Version
	returnWithSameNumber(store, c, "again") // no answer has named the new era yet
	_, err := r.Transact(t.Context(), put(lost, "based on the lost value"))
	assert.Assert(t, errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrNotApplied), "%v", err)
}

// Guards against a feed that goes on from a version of an earlier era, whose number the store has given out again, and misses the changes before it.
func TestFeedSinceEarlierEraHasNoHistory(t *testing.T) {
	store := rowstore.New(nil)
	r := New(store.Client(), discardLog())
	write(t, r, storage.Version{}, "before")
	c := store.Copy()
	lost := write(t, r, store.Get(key).Version, "lost").Version
	open := make(chan error, 1)
	go func() {
		_, err := r.Feed(t.Context(), key.Table, lost, 10*time.Second)
		open <- err
	}()
	time.Sleep(20 * time.Millisecond)
	returnWithSameNumber(store, c, "again")
	_, err := r.Range(t.Context(), key.Table, key.Part, "") // names the new era
	assert.NilError(t, err)
	select {
	case err := <-open:
		assert.ErrorIs(t, err, storage.ErrHistoryGone)
	case <-time.After(time.Second):
		t.Fatal("the feed call goes on in the new era")
	}
	_, err = r.Feed(t.Context(), key.Table, lost, time.Second)
	assert.ErrorIs(t, err, storage.ErrHistoryGone)
}

// scriptedRows answers each call with the next of some pages.
type scriptedRows struct {
	storage.Rows
	pages chan storage.RowPage
}

func (s scriptedRows) Range(context.Context, string, string, string) (storage.RowPage, error) {
	page := <-s.pages
	if page.Era == 0 {
		return storage.RowPage{}, storage.ErrInvalidEra
	}
	return page, nil
}

// Guards against a view of rows of two eras, and against an era that falls or cannot be read and is taken for a return of the store.
func TestAnswerOfEarlierEraIsAnError(t *testing.T) {
	var logged bytes.Buffer
	script := scriptedRows{pages: make(chan storage.RowPage, 1)}
	r := New(script, &log.Logger{Writer: log.IOWriter{Writer: &logged}})
	returns := 0
	r.Changed = func(storage.Version, storage.Version) { returns++ }
	read := func(era uint64) error {
		script.pages <- storage.RowPage{Version: storage.Version{Era: era, Number: 5}}
		_, err := r.Range(t.Context(), key.Table, key.Part, "")
		return err
	}
	assert.NilError(t, read(3))
	assert.NilError(t, read(4))
	assert.ErrorIs(t, read(3), storage.ErrUnavailable)
	assert.ErrorIs(t, read(0), storage.ErrUnavailable)
	assert.NilError(t, read(4))
	assert.Equal(t, returns, 1)
	assert.Equal(t, strings.Count(logged.String(), `"level":"error"`), 1, "one line each 5 s: %s", logged.String())
	assert.Equal(t, r.Newest(), storage.Version{Era: 4, Number: 5})
}

// Guards against an answer that was on its way when the new era began and is used after one of the new era.
func TestLateAnswerOfEarlierEraIsNotUsed(t *testing.T) {
	var logged bytes.Buffer
	script := scriptedRows{pages: make(chan storage.RowPage)}
	r := New(script, &log.Logger{Writer: log.IOWriter{Writer: &logged}})
	late := make(chan error, 1)
	read := func() error {
		_, err := r.Range(t.Context(), key.Table, key.Part, "")
		return err
	}
	page := func(era uint64) storage.RowPage {
		return storage.RowPage{Version: storage.Version{Era: era, Number: 5}}
	}
	go func() { late <- read() }()
	script.pages <- page(1)
	assert.NilError(t, <-late)
	go func() { late <- read() }()
	time.Sleep(20 * time.Millisecond)                                                // until the call has begun
	assert.NilError(t, r.check(r.Newest(), storage.Version{Era: 2, Number: 3}, nil)) // the answer to another call
	script.pages <- page(1)
	assert.ErrorIs(t, <-late, storage.ErrUnavailable)
	assert.Assert(t, !strings.Contains(logged.String(), `"level":"error"`), "%s", logged.String())
}

// Guards against a store without eras whose answers are refused or whose conditions fail.
func TestStoreWithoutErasIsUsedAsItIs(t *testing.T) {
	store := rowstore.NewWithoutEras()
	r := New(store.Client(), discardLog())
	first := write(t, r, storage.Version{}, "one")
	second := write(t, r, first.Version, "two")
	assert.Assert(t, second.Applied)
	assert.Assert(t, !write(t, r, first.Version, "three").Applied)
	page, err := r.Feed(t.Context(), key.Table, first.Version, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(page.Rows[0].Value), "two")
	page, err = r.Range(t.Context(), key.Table, key.Part, "")
	assert.NilError(t, err)
	assert.Equal(t, page.Rows[0].Version, second.Version)
}
