package home

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/cluster"
)

// recordingAuthority is an authority that records its calls.
type recordingAuthority struct {
	mu       sync.Mutex
	err      error
	reserves int
	settles  []SettleRequest
}

func (r *recordingAuthority) Reserve(context.Context, ReserveRequest) (ReserveReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserves++
	return ReserveReply{Outcome: Granted}, r.err
}

func (r *recordingAuthority) Settle(_ context.Context, req SettleRequest) (SettleReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settles = append(r.settles, req)
	return SettleReply{Durable: true}, nil
}

func (r *recordingAuthority) settled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.settles)
}

// fixedMembership is a Membership with the same order for every budget.
type fixedMembership struct {
	peers       []cluster.Peer
	unreachable []string
}

func (f *fixedMembership) HomeCandidates(string, string) []cluster.Peer { return f.peers }
func (f *fixedMembership) MarkUnreachable(incarnation string) {
	f.unreachable = append(f.unreachable, incarnation)
}

func (f *fixedMembership) LiveAddr(incarnation string) (string, bool) {
	for _, p := range f.peers {
		if p.Incarnation == incarnation {
			return p.Addr, true
		}
	}
	return "", false
}

type recordingRemotes map[string]*recordingAuthority

func (r recordingRemotes) Authority(addr string) Authority { return r[addr] }

func newTestRouter(self string) (*Router, *recordingAuthority, recordingRemotes, *fixedMembership) {
	local := &recordingAuthority{}
	remotes := recordingRemotes{"a": &recordingAuthority{}, "b": &recordingAuthority{}, "c": &recordingAuthority{}}
	membership := &fixedMembership{}
	for _, name := range []string{"a", "b", "c"} {
		membership.peers = append(membership.peers, cluster.Peer{Incarnation: name, Addr: name})
	}
	router := NewRouter(local, remotes, func() Membership { return membership }, func() string { return self }, "m")
	return router, local, remotes, membership
}

// Guards against a request that is refused because its home is down, and against
// a reservation that stays open at a home whose reply was lost.
func TestRouterFailsOverToTheNextHome(t *testing.T) {
	router, local, remotes, membership := newTestRouter("z")
	remotes["a"].err = errors.New("timeout")
	_, err := router.For("c", "b").Reserve(t.Context(), ReserveRequest{Request: "r"})
	assert.NilError(t, err)
	assert.Equal(t, remotes["b"].reserves, 1)
	assert.Equal(t, local.reserves, 0)
	assert.DeepEqual(t, membership.unreachable, []string{"a"})
	for deadline := time.Now().Add(5 * time.Second); remotes["a"].settled() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, remotes["a"].settled(), 1, "the lost reservation was not released")
	assert.Equal(t, remotes["a"].settles[0].Stream, "")
	assert.Equal(t, remotes["a"].settles[0].Outcome, NotDispatched)
}

// Guards against a daemon that asks more than two unreachable homes instead of
// reserving at its own authority.
func TestRouterFallsBackToLocalAuthority(t *testing.T) {
	router, local, remotes, _ := newTestRouter("z")
	remotes["a"].err = errors.New("timeout")
	remotes["b"].err = errors.New("timeout")
	_, err := router.For("c", "b").Reserve(t.Context(), ReserveRequest{})
	assert.NilError(t, err)
	assert.Equal(t, local.reserves, 1)
	assert.Equal(t, remotes["c"].reserves, 0)
}

// Guards against a settlement that is sent elsewhere while the holder of the grant
// is live: only the holder may settle attempts on its open grant.
func TestRouterSettlesAtTheHolder(t *testing.T) {
	for holder, want := range map[string]string{"b": "b", "self": "local", "dead": "local"} {
		router, local, remotes, _ := newTestRouter("self")
		_, err := router.For("c", "b").Settle(t.Context(), SettleRequest{Stream: holder + "-1.0"})
		assert.NilError(t, err)
		assert.Equal(t, local.settled() == 1, want == "local", holder)
		assert.Equal(t, remotes["b"].settled() == 1, want == "b", holder)
	}
}
