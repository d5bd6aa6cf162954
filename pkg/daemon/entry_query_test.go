package daemon

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/peer"
	"github.com/peppertrail/peppertrail/pkg/standin/ports"
)

// singleHolder is a holderRegistry with the row of one entry daemon.
type singleHolder struct {
	incarnation string
	live        bool
}

func (r singleHolder) RegisteredAddr(incarnation string) (string, bool) {
	return "10.0.0.1:7000", incarnation == r.incarnation
}

func (r singleHolder) LiveAddr(incarnation string) (string, bool) {
	return "10.0.0.1:7000", r.live && incarnation == r.incarnation
}

// Guards against a graceful stop that waits for attempts of an entry daemon that
// was killed and restarted at the same address, and against concluding that those
// attempts are settled because the new process has none open.
func TestOpenAttemptsOfEndedEntryDaemon(t *testing.T) {
	errTimeout := errors.New("timeout")
	cases := []struct {
		desc  string
		entry string
		live  bool
		reply peer.AttemptsReply
		err   error
		open  int
		ended bool
		fails bool
	}{
		{"running", "a~1", true, peer.AttemptsReply{HomeIncarnation: "a~1", Open: 2}, nil, 2, false, false},
		{"running, nothing open", "a~1", true, peer.AttemptsReply{HomeIncarnation: "a~1"}, nil, 0, false, false},
		{"restarted, former incarnation still live", "a~1", true, peer.AttemptsReply{HomeIncarnation: "a~2"}, nil, 0, true, false},
		{"restarted, former incarnation no longer live", "a~1", false, peer.AttemptsReply{HomeIncarnation: "a~2"}, nil, 0, true, false},
		{"fenced and registered again", "a~1", false, peer.AttemptsReply{HomeIncarnation: "a~2", FormerIncarnations: []string{"a~1"}, Open: 1}, nil, 1, false, false},
		{"connection refused", "a~1", true, peer.AttemptsReply{}, errProcessEnded, 0, true, false},
		{"no answer, still live", "a~1", true, peer.AttemptsReply{}, errTimeout, 0, false, true},
		{"no answer, no longer live", "a~1", false, peer.AttemptsReply{}, errTimeout, 0, true, false},
		{"without holder row", "b~1", false, peer.AttemptsReply{}, nil, 0, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			e := entryQuery{
				holders: singleHolder{incarnation: "a~1", live: tc.live},
				queryAttempts: func(context.Context, string, string) (peer.AttemptsReply, error) {
					return tc.reply, tc.err
				},
			}
			open, ended, err := e.openAttempts(t.Context(), tc.entry, "h~1")
			assert.Equal(t, err != nil, tc.fails, "%v", err)
			assert.Equal(t, open, tc.open)
			assert.Equal(t, ended, tc.ended)
		})
	}
}

// Guards against a home that cannot stop because an entry daemon with open
// attempts on its grants was killed and its host restarted before the stop.
func TestHomeStopsAfterEntryRestarted(t *testing.T) {
	f := newTestFleet(t)
	f.installBundle(t)
	d := f.start(t, "h1", "--drain-timeout", "10s")
	d.waitForTargetReport(t)
	addr, err := ports.Free() // in a range that outgoing connections do not use, so that it stays free while h2 is down
	assert.NilError(t, err)
	old := f.startAt(t, "h2", addr)
	waitFor(t, "h2 in the view of h1", func() bool {
		_, live := d.session.Load().view.LiveAddr(old.Incarnation())
		return live
	})
	former := old.Incarnation()
	assert.NilError(t, old.stop(t))
	f.startAt(t, "h2", addr)
	reply, err := d.local.Reserve(t.Context(), home.ReserveRequest{
		Customer: "regie", Budget: testBudget, Request: "r1", Fingerprint: "f", Attempt: 1, Bound: 10,
		Target: "chef-0", Entry: former,
	})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, home.Granted)
	assert.NilError(t, d.stop(t))
}
