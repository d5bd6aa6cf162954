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
	// maxRemoteHomes is the number of other daemons asked before this daemon
	// reserves at its own authority. Each one that does not answer adds a timeout to
	// the request.
	maxRemoteHomes = 2
	// releaseAttempts, releaseDelay and releaseTimeout determine how long the
	// release of a reservation whose reply was lost is retried: up to
	// releaseAttempts calls, each limited to releaseTimeout, with releaseDelay after
	// each failed one. The delays alone are longer than the holder
	// TTL of 15 s: a home that is unreachable for longer is fenced and drops its
	// reservations.
	releaseAttempts = 30
	releaseDelay    = time.Second
	releaseTimeout  = time.Second
)

// Membership returns the live daemons. *cluster.View implements it.
type Membership interface {
	// HomeCandidates returns the daemons of a region in the order in which they are
	// asked as the home of a budget.
	HomeCandidates(budget, region string) []cluster.Peer
	// LiveAddr returns the address of a live daemon, even if it is excluded from
	// HomeCandidates as unreachable.
	LiveAddr(incarnation string) (addr string, live bool)
	// MarkUnreachable excludes a daemon from HomeCandidates for a limited time.
	MarkUnreachable(incarnation string)
}

// Remotes provides clients of the authorities of other daemons.
type Remotes interface {
	// Authority returns the authority of the daemon at an address.
	Authority(addr string) Authority
}

// Router sends each call to the home of its budget. When no home answers, the
// local authority serves the call from a grant that this daemon holds.
type Router struct {
	local      Authority
	remotes    Remotes
	membership func() Membership
	self       func() string // returns the incarnation of this daemon
	region     string
	attempts   *attemptTracker
}

// OpenAttempts returns how many attempts of this daemon on grants of a holder
// are not known to be durably settled. The recovery of the grants uses the count.
func (r *Router) OpenAttempts(holder string) int {
	return r.attempts.countOpen(holder)
}

// NewRouter returns a router. membership and self are evaluated for each call, since
// both change when a fenced daemon registers again.
func NewRouter(local Authority, remotes Remotes, membership func() Membership, self func() string, region string) *Router {
	return &Router{local: local, remotes: remotes, membership: membership, self: self, region: region, attempts: newAttemptTracker()}
}

// For returns the authority over a budget. It ignores the customer, because a
// budget has the same home for all customers.
func (r *Router) For(_, budgetID string) Authority {
	return budgetAuthority{router: r, budget: budgetID}
}

// budgetAuthority forwards calls for one budget to its home.
type budgetAuthority struct {
	router *Router
	budget string
}

// Reserve implements Authority.
func (a budgetAuthority) Reserve(ctx context.Context, req ReserveRequest) (ReserveReply, error) {
	r := a.router
	members := r.membership()
	for i, peer := range members.HomeCandidates(a.budget, r.region) {
		if i >= maxRemoteHomes || peer.Incarnation == r.self() {
			break
		}
		req.Call = rand.Text()
		reply, err := r.reserveAt(ctx, peer.Incarnation, r.remotes.Authority(peer.Addr), req)
		if err == nil {
			return reply, nil
		}
		members.MarkUnreachable(peer.Incarnation)
		go r.release(peer.Addr, req)
	}
	req.Call = "" // local calls are not released by id
	return r.reserveAt(ctx, r.self(), r.local, req)
}

// reserveAt asks one authority and counts the attempt as open until the reply.
func (r *Router) reserveAt(ctx context.Context, holder string, authority Authority, req ReserveRequest) (ReserveReply, error) {
	r.attempts.beginReserve(holder)
	reply, err := authority.Reserve(ctx, req)
	r.attempts.endReserve(holder, reply, err)
	return reply, err
}

// release undoes a reservation that a home may have made although its reply was
// lost.
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

// Settle implements Authority. It asks the holder of the attempt's grant. It asks
// the local authority if that holder is no longer live or the call to it fails; only
// an exceeded deadline is returned to the caller. A holder that is excluded as
// unreachable is asked too: a leaving holder refuses reservations, but waits for the
// settlements on its grants, which no other daemon may write while the grants are
// open.
func (a budgetAuthority) Settle(ctx context.Context, req SettleRequest) (SettleReply, error) {
	reply, err := a.settle(ctx, req)
	if err == nil && reply.Durable {
		a.router.attempts.markSettled(req.Stream)
	}
	return reply, err
}

func (a budgetAuthority) settle(ctx context.Context, req SettleRequest) (SettleReply, error) {
	r := a.router
	holder := budget.HolderOfGrant(budget.GrantOfStream(req.Stream))
	if holder == r.self() {
		return r.local.Settle(ctx, req)
	}
	members := r.membership()
	if addr, live := members.LiveAddr(holder); live {
		reply, err := r.remotes.Authority(addr).Settle(ctx, req)
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			return reply, err
		}
		members.MarkUnreachable(holder)
	}
	return r.local.Settle(ctx, req)
}
