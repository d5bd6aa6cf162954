package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

var key = storage.RowKey{Table: "t", Part: "p", Key: "k"}

func quietLog() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

// host is a way to the store with a server for other hosts.
func host(t *testing.T, store *rowstore.Store) (*rowstore.Client, string) {
	t.Helper()
	client := store.Client()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go NewServer(client, quietLog()).Serve(t.Context(), l)
	return client, l.Addr().String()
}

func call(t *testing.T, r *Rows, version uint64, value string) (storage.RowOutcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return r.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: version}},
		Puts:          []storage.PartRow{{RowKey: key, Value: []byte(value)}},
	})
}

// Guards against a host without the store while another one has it.
func TestCallsGoByWayOfAnotherHost(t *testing.T) {
	store := rowstore.New(nil)
	direct := store.Client()
	_, peer := host(t, store)
	r := New(direct, func() []string { return []string{peer} }, quietLog())
	for _, f := range []rowstore.Faults{{}, {Refuse: true}, {Cut: true}, {Cut: true}, {}} {
		direct.SetFaults(f)
		before := store.Get(key).Version
		outcome, err := call(t, r, before, "value")
		if f.Cut && err != nil {
			continue // the first call of a cut uses up its time
		}
		assert.NilError(t, err)
		assert.Assert(t, outcome.Applied)
		assert.Equal(t, store.Get(key).Version, outcome.Version)
	}
	direct.SetFaults(rowstore.Faults{Refuse: true})
	page, err := r.Range(t.Context(), "t", "p", "")
	assert.NilError(t, err)
	assert.Equal(t, string(page.Rows[0].Value), "value")
	conflict, err := call(t, r, 0, "other")
	assert.NilError(t, err)
	assert.Assert(t, !conflict.Applied && string(conflict.Current[0].Value) == "value")
	store.ForgetHistory()
	_, err = r.Feed(t.Context(), "t", 0, 10*time.Millisecond)
	assert.ErrorIs(t, err, storage.ErrHistoryGone)
}

// Guards against an outcome that is claimed although it is not known.
func TestUnknownOutcomesStayUnknown(t *testing.T) {
	store := rowstore.New(nil)
	direct := store.Client()
	relay, peer := host(t, store)
	r := New(direct, func() []string { return []string{peer} }, quietLog())
	direct.SetFaults(rowstore.Faults{LoseReplies: true})
	relay.SetFaults(rowstore.Faults{Refuse: true})
	_, err := call(t, r, 0, "one")
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	assert.Equal(t, string(store.Get(key).Value), "one")
	direct.SetFaults(rowstore.Faults{Refuse: true})
	relay.SetFaults(rowstore.Faults{LoseReplies: true})
	_, err = call(t, r, store.Get(key).Version, "two")
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	relay.SetFaults(rowstore.Faults{Refuse: true})
	time.Sleep(probeInterval)
	_, err = call(t, r, store.Get(key).Version, "three")
	assert.ErrorIs(t, err, storage.ErrNotApplied)
	assert.Equal(t, string(store.Get(key).Value), "two")
}

// Guards against a direct way that is not taken again.
func TestDirectWayIsTakenBack(t *testing.T) {
	store := rowstore.New(nil)
	direct := store.Client()
	r := New(direct, func() []string { return nil }, quietLog())
	direct.SetFaults(rowstore.Faults{Refuse: true})
	_, err := call(t, r, 0, "one")
	assert.ErrorIs(t, err, storage.ErrNotApplied)
	direct.SetFaults(rowstore.Faults{})
	time.Sleep(probeInterval + 50*time.Millisecond)
	_, err = call(t, r, 0, "one")
	assert.NilError(t, err)
}

// Guards against relays that add to the calls of a store that refuses too many
// of them, and against a host that asks no other one although it alone is refused.
func TestThrottledCallsAreRelayedOnlyAfterAWhile(t *testing.T) {
	store := rowstore.New(nil)
	direct := store.Client()
	relay, peer := host(t, store)
	relay.SetFaults(rowstore.Faults{})
	r := New(direct, func() []string { return []string{peer} }, quietLog())
	direct.SetFaults(rowstore.Faults{Throttle: true})
	_, err := call(t, r, 0, "one")
	assert.ErrorIs(t, err, storage.ErrThrottled)
	assert.Equal(t, store.Get(key).Version, uint64(0))
	time.Sleep(throttleTerm)
	_, err = call(t, r, 0, "one")
	assert.NilError(t, err)
	assert.Equal(t, string(store.Get(key).Value), "one")
}

// Guards against a read that spends all its time on a silent direct way, although
// another host has the store: a configuration came too late by that.
func TestSilentDirectWayLeavesTimeForRelays(t *testing.T) {
	store := rowstore.New(nil)
	store.Put(key, []byte("value"))
	direct := store.Client()
	_, peer := host(t, store)
	r := New(direct, func() []string { return []string{peer} }, quietLog())
	direct.SetFaults(rowstore.Faults{Cut: true})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	page, err := r.Range(ctx, key.Table, key.Part, "")
	assert.NilError(t, err)
	assert.Equal(t, string(page.Rows[0].Value), "value")
}
