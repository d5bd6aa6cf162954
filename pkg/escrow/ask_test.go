package escrow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// newBrokeredPool is a host whose account is changed by a broker, with a share of 1,000
// tokens of which it needs few.
func newBrokeredPool(t *testing.T, callBroker func(ShareAsk) (ShareAnswer, error)) *tokenPool {
	t.Helper()
	w := newTestCluster(t, maxDirectHosts+2)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	k := NewKeeper(ctx, Options{
		Rows: w.store.Client(), AccountTable: accounts, UsageTable: usages, Host: "a", Incarnation: "a1",
		Hosts: func() int { return w.hosts }, Clock: w.clock, Log: newDiscardLog(),
		Ask: func(_ context.Context, _ string, a ShareAsk) (ShareAnswer, error) { return callBroker(a) },
	})
	p := newTokenPool(k, "regie")
	p.prepaid, p.loaded, p.ledger.amount, p.confirmedSeq, p.lastSeq = 10_000, true, 1_000, 1, 1
	p.brokerReply, p.loadedAt = &ShareAnswer{Others: otherShares{Amount: 9_000, Spent: 9_000}}, p.now()
	return p
}

// Guards against a holder that spends what it asked the broker to take back,
// when the answer is lost.
func TestLostAnswerBindsTheHolder(t *testing.T) {
	var requests []ShareAsk
	p := newBrokeredPool(t, func(a ShareAsk) (ShareAnswer, error) {
		requests = append(requests, a)
		return ShareAnswer{}, storage.ErrUnavailable
	})
	p.changeThroughBroker(t.Context(), "b")
	assert.Equal(t, len(requests), 1)
	released := requests[0].Share.Amount
	assert.Assert(t, released < 1_000)
	assert.Equal(t, p.ledger.guaranteed(), released)
	// The next change must make sure that the lost one comes too late.
	p.largestWaiting = 900
	p.changeThroughBroker(t.Context(), "b")
	assert.Assert(t, requests[1].ForceWrite)
	assert.Assert(t, requests[1].Share.Seq > requests[0].Share.Seq)
	assert.Equal(t, p.ledger.guaranteed(), released)
}

// Guards against a holder that stays bound by an ask that was never carried out.
func TestRefusedAskBindsNoOne(t *testing.T) {
	p := newBrokeredPool(t, func(ShareAsk) (ShareAnswer, error) { return ShareAnswer{}, storage.ErrNotApplied })
	p.changeThroughBroker(t.Context(), "b")
	assert.Equal(t, p.ledger.guaranteed(), int64(1_000))
	assert.Assert(t, !p.inDoubt)
}

// Guards against an answer from an old state of the account.
func TestOldAnswerRaisesNoShare(t *testing.T) {
	p := newBrokeredPool(t, func(a ShareAsk) (ShareAnswer, error) {
		return ShareAnswer{Held: true, Share: Share{Amount: 5_000, Seq: 1}}, nil
	})
	p.confirmedSeq, p.lastSeq = 4, 4
	p.changeThroughBroker(t.Context(), "b")
	assert.Assert(t, p.ledger.guaranteed() <= 1_000, "%d", p.ledger.guaranteed())
}

// Guards against an account that a broker overdraws, whatever the asks and
// their order, and against a late ask that undoes a newer one.
func TestAsksStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prepaid = 1_000
		a := Account{Shares: make(map[string]Share)}
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			s := Share{
				Host: "h", Incarnation: rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "process"),
				Amount: rapid.Int64Range(0, 1_500).Draw(t, "amount"), Seq: rapid.Int64Range(1, 40).Draw(t, "seq"),
			}
			before, held := a.Shares[s.key()]
			a.applyRequest(ShareAsk{
				Customer: "regie", Share: s, Held: rapid.Bool().Draw(t, "held"), ForceWrite: rapid.Bool().Draw(t, "write"),
				Close: rapid.IntRange(0, 9).Draw(t, "close") == 0, Used: rapid.Int64Range(0, before.Amount).Draw(t, "used"),
			}, prepaid)
			assert.Assert(t, a.Allotted() <= prepaid)
			after, still := a.Shares[s.key()]
			if held && still {
				assert.Assert(t, after.Seq >= before.Seq && (s.Seq > before.Seq || after == before))
			}
		}
	})
}

// Guards against hosts that disagree on the broker of an account.
func TestHostsAgreeOnBroker(t *testing.T) {
	hosts := maxDirectHosts + 8
	_, nodes := startFleet(t, hosts, map[string]int64{"regie": 1_000_000, "depot": 1_000_000})
	time.Sleep(feedInterval)
	for _, customer := range []string{"regie", "depot"} {
		brokers := make(map[string]int)
		for _, n := range nodes {
			n.mu.Lock()
			broker, _ := n.brokerOf(customer)
			n.mu.Unlock()
			if broker == "" {
				broker = n.options.Host
			}
			brokers[broker]++
		}
		assert.Equal(t, len(brokers), 1, "%v", brokers)
	}
}

// Guards against asks that wait in vain at a host which takes another one for the
// broker, as after a timeout of the first choice.
func TestSecondChoiceServesToo(t *testing.T) {
	_, nodes := startFleet(t, maxDirectHosts+4, map[string]int64{"regie": 1_000_000})
	time.Sleep(feedInterval)
	for i, n := range nodes[:4] {
		ctx, cancel := context.WithTimeout(t.Context(), brokerCallTimeout)
		request := ShareAsk{Customer: "regie", Share: Share{Host: "other", Incarnation: incarnation(100 + i), Amount: 10, Seq: 1}}
		reply, err := n.ChangeShare(ctx, request)
		cancel()
		assert.NilError(t, err)
		assert.Assert(t, reply.Held && reply.Share.Amount == 10)
	}
}
