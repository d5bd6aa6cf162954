package home

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/cluster"
)

// leavingAuthority refuses reservations and accepts settlements, as a home does
// between SIGTERM and the close of its grants.
type leavingAuthority struct {
	settled int
}

func (a *leavingAuthority) Reserve(context.Context, ReserveRequest) (ReserveReply, error) {
	return ReserveReply{}, ErrLeaving
}

func (a *leavingAuthority) Settle(_ context.Context, req SettleRequest) (SettleReply, error) {
	if req.Stream != "" {
		a.settled++
	}
	return SettleReply{Durable: true}, nil
}

// localAuthority grants reservations and cannot settle other holders' streams.
type localAuthority struct{}

func (localAuthority) Reserve(context.Context, ReserveRequest) (ReserveReply, error) {
	return ReserveReply{Outcome: Granted, Stream: "self~1-1.1"}, nil
}

func (localAuthority) Settle(context.Context, SettleRequest) (SettleReply, error) {
	return SettleReply{}, errors.New("the grant is open")
}

// singleHomeMembership is a Membership with one daemon.
type singleHomeMembership struct {
	peer        cluster.Peer
	unreachable bool
}

func (r *singleHomeMembership) HomeCandidates(string, string) []cluster.Peer {
	if r.unreachable {
		return nil
	}
	return []cluster.Peer{r.peer}
}

func (r *singleHomeMembership) LiveAddr(incarnation string) (string, bool) {
	return r.peer.Addr, incarnation == r.peer.Incarnation
}

func (r *singleHomeMembership) MarkUnreachable(string) { r.unreachable = true }

// singleRemote returns the same authority for every address.
type singleRemote struct {
	authority Authority
}

func (r singleRemote) Authority(string) Authority { return r.authority }

// Guards against a graceful stop that waits for a settlement that never arrives:
// the home refused a reservation of the entry daemon, which then treated the home
// as unreachable and sent it no more settlements for its grants.
func TestRouterSettlesAtLeavingHome(t *testing.T) {
	leaving := &leavingAuthority{}
	membership := &singleHomeMembership{peer: cluster.Peer{Incarnation: "home~1", Addr: "127.0.0.2:1"}}
	router := NewRouter(localAuthority{}, singleRemote{leaving}, func() Membership { return membership }, func() string { return "self~1" }, "east")
	authority := router.For("c", "b")
	reply, err := authority.Reserve(t.Context(), ReserveRequest{Customer: "c", Budget: "b", Request: "later"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, Granted)
	settled, err := authority.Settle(t.Context(), SettleRequest{Customer: "c", Budget: "b", Request: "r", Grant: "home~1-1", Stream: "home~1-1.1", Outcome: Completed})
	assert.NilError(t, err)
	assert.Assert(t, settled.Durable)
	assert.Equal(t, leaving.settled, 1)
}
