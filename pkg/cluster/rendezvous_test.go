package cluster

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testPeers(n int) []Peer {
	peers := make([]Peer, 0, n)
	for i := range n {
		peers = append(peers, Peer{Incarnation: fmt.Sprintf("d%d", i), Addr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), Region: "r"})
	}
	return peers
}

// Guards against the removal of one daemon moving budgets between the remaining
// daemons or changing the fallback order among them.
func TestRemovalMovesOnlyOwnBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := testPeers(rapid.IntRange(1, 40).Draw(t, "daemons"))
		removed := rapid.IntRange(0, len(peers)-1).Draw(t, "gone")
		budget := rapid.String().Draw(t, "budget")
		before := rank(budget, peers)
		want := slices.DeleteFunc(before, func(p Peer) bool { return p == peers[removed] })
		got := rank(budget, slices.Delete(slices.Clone(peers), removed, removed+1))
		if !slices.Equal(got, want) {
			t.Fatalf("rank without the removed daemon: got %v, want %v", got, want)
		}
	})
}

// Guards against a home that depends on the order in which a daemon discovered its peers.
func TestRankIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := testPeers(20)
		shuffled := rapid.Permutation(peers).Draw(t, "order")
		budget := rapid.String().Draw(t, "budget")
		if !slices.Equal(rank(budget, peers), rank(budget, shuffled)) {
			t.Fatal("rank depends on the order of the peers")
		}
	})
}

// Guards against a daemon becoming the home of far more budgets than the
// average when budget ids differ in only a few characters.
func TestBudgetsSpreadEvenly(t *testing.T) {
	const daemons, perDaemon = 40, 200
	peers := testPeers(daemons)
	homes := map[string]int{}
	for i := range daemons * perDaemon {
		homes[rank(fmt.Sprintf("budget-%06d", i), peers)[0].Addr]++
	}
	for _, p := range peers {
		n := homes[p.Addr]
		// 200 plus or minus 5 standard deviations of 14.
		assert.Assert(t, n > 130 && n < 270, "%s is the home of %d budgets", p.Addr, n)
	}
}

// BenchmarkRank170Peers measures the ranking of 170 daemons for one budget.
func BenchmarkRank170Peers(b *testing.B) {
	peers := testPeers(170)
	for b.Loop() {
		rank("budget-000001", peers)
	}
}
