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
		ended   bool
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
			cluster := newTestCluster(1)
			cluster.createBudget("b", 1000)
			d := cluster.daemons[0]
			d.local.opts.QueryOpenAttempts = func(string, string) (int, bool, error) { return tc.open, tc.ended, tc.err }
			reserveAndAwait(t, cluster, d, request("r1"))
			cluster.tick(d, leavingEntryQueryAge)
			assert.Equal(t, d.local.ledger.OpenReservations(), 1, "the home settled an attempt before it was leaving")
			d.local.process(leaveMessage{})
			cluster.tick(d, entryQueryInterval)
			cluster.runUntilIdle(d)
			assert.Equal(t, d.local.ledger.OpenReservations(), tc.running)
			assert.Equal(t, cluster.lines("c")["r1"].Total(), tc.total)
		})
	}
}

// Guards against a daemon that reports no open attempt while a home may be
// granting one to it.
func TestAttemptTrackerCountsPendingReservations(t *testing.T) {
	tracker := newAttemptTracker()
	tracker.beginReserve("h")
	assert.Equal(t, tracker.countOpen("h"), 1)
	tracker.endReserve("h", ReserveReply{Outcome: Granted, Stream: "h-1.0"}, nil)
	assert.Equal(t, tracker.countOpen("h"), 1)
	tracker.markSettled("h-1.0")
	assert.Equal(t, tracker.countOpen("h"), 0)
	tracker.beginReserve("h")
	tracker.endReserve("h", ReserveReply{}, errors.New("timeout"))
	assert.Equal(t, tracker.countOpen("h"), 0)
}
