package home

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/cluster"
)

const (
	// remoteHomes is how many daemons are asked before this daemon opens a
	// direct grant of its own. Each one that does not answer costs a timeout.
	maxRemoteHomes = 2
	// releaseAttempts and releaseDelay bound the release of a reservation
	// whose reply was lost. They outlast the holder TTL of 15 s: a home that is
	// away for longer is fenced and drops its reservations.
	releaseAttempts = 30
	releaseDelay    = time.Second
	releaseTimeout  = time.Second
)

// Ring gives the live daemons. *cluster.View implements it.
type Ring interface {
	// Home returns the daemons of a region in the order in which they are the
	// home of a budget.
	Home(budget, region string) []cluster.Peer
	// Holder returns the address of a live daemon, also of one that is left out
	// as unreachable.
	Holder(incarnation string) (addr string, live bool)
	// Unreachable leaves a daemon out for a while.
	Unreachable(incarnation string)
}

// Remotes returns the authority of the daemon at an address.
type Remotes interface {
	Authority(addr string) Authority
}

// Router sends each call to the home of its budget. When no home answers, the
// local authority serves it from a direct grant.
type Router struct {
	local    Authority
	remotes  Remotes
	ring     func() Ring
	self     func() string // incarnation
	region   string
	attempts *attemptTracker
}

// OpenAttempts returns how many attempts of this daemon on grants of a holder
// are not known to be settled. It is evidence for the recovery of the grants.
func (r *Router) OpenAttempts(holder string) int {
	return r.attempts.openOn(holder)
}

// NewRouter returns a router. ring and self are asked for each call, since both
// change when a fenced daemon registers again.
func NewRouter(local Authority, remotes Remotes, ring func() Ring, self func() string, region string) *Router {
	return &Router{local: local, remotes: remotes, ring: ring, self: self, region: region, attempts: newAttemptTracker()}
}

// For returns the authority over a budget. Customer is not used: a budget has
// one home for all who draw on it.
func (r *Router) For(_, budgetID string) Authority {
	return budgetAuthority{router: r, budget: budgetID}
}

// routed is the authority over one budget, wherever its home is.
type budgetAuthority struct {
	router *Router
	budget string
}

// Reserve implements Authority.
func (a budgetAuthority) Reserve(ctx context.Context, req ReserveRequest) (ReserveReply, error) {
	r := a.router
	ring := r.ring()
	for i, peer := range ring.Home(a.budget, r.region) {
		if i >= maxRemoteHomes || peer.Incarnation == r.self() {
			break
		}
		req.Call = rand.Text()
		reply, err := r.reserveAt(ctx, peer.Incarnation, r.remotes.Authority(peer.Addr), req)
		if err == nil {
			return reply, nil
		}
		ring.Unreachable(peer.Incarnation)
		go r.release(peer.Addr, req)
	}
	req.Call = "" // nobody releases a local call
	return r.reserveAt(ctx, r.self(), r.local, req)
}

// reserveAt asks one authority and counts the attempt as open meanwhile.
func (r *Router) reserveAt(ctx context.Context, home string, authority Authority, req ReserveRequest) (ReserveReply, error) {
	r.attempts.beginReserve(home)
	reply, err := authority.Reserve(ctx, req)
	r.attempts.endReserve(home, reply, err)
	return reply, err
}

// release gives back what a home may have reserved whose reply was lost.
func (r *Router) release(addr string, req ReserveRequest) {
	settle := req.undispatched("")
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		_, err := r.remotes.Authority(addr).Settle(ctx, settle)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releaseDelay)
	}
}

// Settle implements Authority. It asks the holder of the attempt's grant, and
// the present home of the budget if that holder is gone. A holder that is left
// out as unreachable is asked too: one that is leaving refuses reservations,
// but waits for the settlements of its grants, which nobody else may write
// while they are open.
func (a budgetAuthority) Settle(ctx context.Context, req SettleRequest) (SettleReply, error) {
	reply, err := a.settle(ctx, req)
	if err == nil && reply.Durable {
		a.router.attempts.settled(req.Stream)
	}
	return reply, err
}

func (a budgetAuthority) settle(ctx context.Context, req SettleRequest) (SettleReply, error) {
	r := a.router
	holder := budget.HolderOfGrant(budget.GrantOfStream(req.Stream))
	if holder == r.self() {
		return r.local.Settle(ctx, req)
	}
	ring := r.ring()
	if addr, live := ring.Holder(holder); live {
		reply, err := r.remotes.Authority(addr).Settle(ctx, req)
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			return reply, err
		}
		ring.Unreachable(holder)
	}
	return r.local.Settle(ctx, req)
}
