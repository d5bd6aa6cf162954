package escrow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// newBrokeredPool returns the pool of a host whose account is changed by a
// broker. It holds a share of 1,000 tokens, which is more than it needs.
func newBrokeredPool(t *testing.T, callBroker func(ShareRequest) (ShareReply, error)) *tokenPool {
	t.Helper()
	c := newTestCluster(t, maxDirectHosts+2)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	m := NewManager(ctx, Options{
		Rows: c.store.Client(), AccountTable: accounts, UsageTable: usages, Host: "a", Incarnation: "a1",
		Hosts: func() int { return c.hosts }, Clock: c.clock, Log: newDiscardLog(),
		RequestShare: func(_ context.Context, _ string, request ShareRequest) (ShareReply, error) {
			return callBroker(request)
		},
	})
	p := newTokenPool(m, "regie")
	p.prepaid, p.loaded, p.ledger.amount, p.confirmedSeq, p.lastSeq = 10_000, true, 1_000, 1, 1
	p.brokerReply, p.loadedAt = &ShareReply{Others: otherShares{Amount: 9_000, Used: 9_000}}, p.now()
	return p
}

// Guards against a holder that spends tokens which it asked the broker to take
// back, when the broker's reply is lost.
func TestHolderKeepsReducedShareAfterLostReply(t *testing.T) {
	var requests []ShareRequest
	p := newBrokeredPool(t, func(request ShareRequest) (ShareReply, error) {
		requests = append(requests, request)
		return ShareReply{}, storage.ErrUnavailable
	})
	p.changeThroughBroker(t.Context(), "b")
	assert.Equal(t, len(requests), 1)
	reduced := requests[0].Share.Amount
	assert.Assert(t, reduced < 1_000)
	assert.Equal(t, p.ledger.guaranteed(), reduced)
	// The next request must force a write, so that the lost one can no longer
	// be applied.
	p.waiting[&Reservation{}] = 900
	p.changeThroughBroker(t.Context(), "b")
	assert.Assert(t, requests[1].ForceWrite)
	assert.Assert(t, requests[1].Share.Seq > requests[0].Share.Seq)
	assert.Equal(t, p.ledger.guaranteed(), reduced)
}

// Guards against a holder that limits itself to the share of a request that
// was never applied.
func TestUnappliedRequestLeavesShareUnchanged(t *testing.T) {
	p := newBrokeredPool(t, func(ShareRequest) (ShareReply, error) { return ShareReply{}, storage.ErrNotApplied })
	p.changeThroughBroker(t.Context(), "b")
	assert.Equal(t, p.ledger.guaranteed(), int64(1_000))
	assert.Assert(t, !p.inDoubt)
}

// Guards against a holder that sets its share from a reply older than its last
// confirmed change.
func TestOutdatedReplyDoesNotRaiseShare(t *testing.T) {
	p := newBrokeredPool(t, func(request ShareRequest) (ShareReply, error) {
		return ShareReply{Held: true, Share: Share{Amount: 5_000, Seq: 1}}, nil
	})
	p.confirmedSeq, p.lastSeq = 4, 4
	p.changeThroughBroker(t.Context(), "b")
	assert.Assert(t, p.ledger.guaranteed() <= 1_000, "%d tokens guaranteed, want at most 1000", p.ledger.guaranteed())
}

// Guards against a broker that overdraws an account, whatever the share
// requests and their order, and against a late request that undoes a newer
// one.
func TestShareRequestsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prepaid = 1_000
		a := Account{Shares: make(map[string]Share)}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			s := Share{
				Host: "h", Incarnation: rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "process"),
				Amount: rapid.Int64Range(0, 1_500).Draw(t, "amount"), Seq: rapid.Int64Range(1, 40).Draw(t, "seq"),
			}
			before, held := a.Shares[s.key()]
			a.applyRequest(ShareRequest{
				Customer: "regie", Share: s, Held: rapid.Bool().Draw(t, "held"), ForceWrite: rapid.Bool().Draw(t, "write"),
				Close: rapid.IntRange(0, 9).Draw(t, "close") == 0, Used: rapid.Int64Range(0, before.Amount).Draw(t, "used"),
				Waiting: rapid.Bool().Draw(t, "waiting"),
			}, prepaid, rapid.Int64Range(0, 400).Draw(t, "reserved"))
			assert.Assert(t, a.Allotted() <= prepaid)
			after, stillHeld := a.Shares[s.key()]
			if held && stillHeld {
				assert.Assert(t, after.Seq >= before.Seq && (s.Seq > before.Seq || after == before))
			}
		}
	})
}

// Guards against hosts that choose different brokers for the same account.
func TestHostsAgreeOnBroker(t *testing.T) {
	hosts := maxDirectHosts + 8
	_, processes := startFleet(t, hosts, map[string]int64{"regie": 1_000_000, "depot": 1_000_000})
	time.Sleep(feedInterval)
	for _, customer := range []string{"regie", "depot"} {
		brokers := make(map[string]int)
		for _, n := range processes {
			n.mu.Lock()
			broker, _ := n.brokerOf(customer)
			n.mu.Unlock()
			if broker == "" {
				broker = n.options.Host
			}
			brokers[broker]++
		}
		assert.Equal(t, len(brokers), 1, "number of hosts by chosen broker: %v", brokers)
	}
}

// Guards against share requests that get no reply from a host which considers
// another one the broker. Such requests occur after the first-ranked broker
// timed out.
func TestHostServesRequestsWithoutBeingFirstBroker(t *testing.T) {
	_, processes := startFleet(t, maxDirectHosts+4, map[string]int64{"regie": 1_000_000})
	time.Sleep(feedInterval)
	for i, n := range processes[:4] {
		ctx, cancel := context.WithTimeout(t.Context(), brokerCallTimeout)
		request := ShareRequest{Customer: "regie", Share: Share{Host: "other", Incarnation: incarnation(100 + i), Amount: 10, Seq: 1}}
		reply, err := n.ChangeShare(ctx, request)
		cancel()
		assert.NilError(t, err)
		assert.Assert(t, reply.Held && reply.Share.Amount == 10)
	}
}
