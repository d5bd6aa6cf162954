package home

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a graceful stop that waits for a reservation whose reply was
// lost, and against the release of an attempt that its entry daemon still runs.
func TestLocalQueriesEntryDaemonsOnLeave(t *testing.T) {
	cases := []struct {
		desc    string
		open    int
		gone    bool
		err     error
		running int
		total   int64
	}{
		{"no open attempt", 0, false, nil, 0, 0},
		{"attempt still running", 1, false, nil, 1, 0},
		{"entry daemon ended", 0, true, nil, 0, 50},
		{"no reply", 0, false, errors.New("timeout"), 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			w := newTestCluster(1)
			w.createBudget("b", 1000)
			d := w.daemons[0]
			d.local.opts.QueryOpenAttempts = func(string, string) (int, bool, error) { return tc.open, tc.gone, tc.err }
			reserveAndAwait(t, w, d, request("r1"))
			w.tick(d, leavingEntryQueryAge)
			assert.Equal(t, d.local.ledger.Running(), 1, "the home settled an attempt before it was leaving")
			d.local.process(leaveMessage{})
			w.tick(d, entryQueryInterval)
			w.runUntilIdle(d)
			assert.Equal(t, d.local.ledger.Running(), tc.running)
			assert.Equal(t, w.lines("c")["r1"].Total(), tc.total)
		})
	}
}

// Guards against a daemon that reports no open attempt while a home may be
// granting one to it.
func TestRouterCountsPendingReservations(t *testing.T) {
	open := newAttemptTracker()
	open.beginReserve("h")
	assert.Equal(t, open.openOn("h"), 1)
	open.endReserve("h", ReserveReply{Outcome: Granted, Stream: "h-1.0"}, nil)
	assert.Equal(t, open.openOn("h"), 1)
	open.settled("h-1.0")
	assert.Equal(t, open.openOn("h"), 0)
	open.beginReserve("h")
	open.endReserve("h", ReserveReply{}, errors.New("timeout"))
	assert.Equal(t, open.openOn("h"), 0)
}
