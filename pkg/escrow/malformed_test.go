package escrow

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a malformed call of another host that ends the process, or lets shares exceed the prepaid total.
func FuzzCallsOfOtherHosts(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `{"customer":"regie"}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p","amount":500,"seq":1},"usage":{"s":1,"c":5}}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p","amount":-900000,"seq":1}}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p","amount":9223372036854775807,"seq":9223372036854775807},"waiting":true,"write":true}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p"},"close":true,"held":true,"used":-5000}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p"},"lapsed":{"p.0":-5000}}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p"},"ended":[{"report":{"host":"x","incarnation":"q","customers":{"regie":{"s":-9,"c":-9}}},"by_ns":-1}]}`,
		`{"customer":"regie","share":{"host":"x","incarnation":"p"},"ended":[{"report":{"host":"x","incarnation":"q","t":9223372036854775807,"customers":{"regie":{"r":9223372036854775807,"b":9223372036854775807}}},"by_ns":9223372036854775807}]}`,
		`{"customer":"regie","incarnation":"p","n":1,"tokens":9223372036854775807,"wait_ns":1000000,"valid_ns":9223372036854775807}`,
		`{"customer":"regie","incarnation":"p","n":1,"tokens":1000,"wait_ns":1000000,"valid_ns":1000000000}`,
		`{"incarnation":"p","settlements":[{"n":1,"spent":-100000},{"n":1,"spent":9223372036854775807}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		t.Parallel()
		const prepaid = 1_000_000
		c := newTestCluster(t, maxDirectHosts+4)
		c.usesBrokers, c.pools = true, true
		n := c.start("a", "a1", map[string]int64{"regie": prepaid})
		defer n.cancel()
		assert.Equal(t, n.spend(t, "regie", 1_000), int64(1_000))
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		var share ShareRequest
		if json.Unmarshal(data, &share) == nil {
			_, _ = n.ChangeShare(ctx, share) // the error goes to the other host
		}
		var reserve ReserveRequest
		if json.Unmarshal(data, &reserve) == nil {
			reserve.Wait = min(reserve.Wait, 20*time.Millisecond)
			_, _ = n.ReserveFor(ctx, reserve)
		}
		var settle SettleRequest
		if json.Unmarshal(data, &settle) == nil {
			n.SettleFor(settle)
		}
		account := c.account("regie")
		assert.Assert(t, account.Settled >= 0 && account.Allotted() <= prepaid, "%+v", account)
		assert.Assert(t, n.usedTokens("regie") >= 1_000, "%d tokens used, 1000 were spent", n.usedTokens("regie"))
	})
}

// Guards against a share request that lets shares exceed the prepaid total or takes back what is settled.
func FuzzShareRequest(f *testing.F) {
	f.Add([]byte(`{"share":{"host":"x","incarnation":"p","amount":-900000,"seq":2}}`), int64(100))
	f.Add([]byte(`{"share":{"host":"x","incarnation":"p"},"close":true,"held":true,"used":-5000}`), int64(0))
	f.Add([]byte(`{"share":{"host":"x","incarnation":"p"},"lapsed":{"p.0":-5000}}`), int64(7))
	f.Fuzz(func(t *testing.T, data []byte, reserved int64) {
		const prepaid, settled = 1_000, 300
		var request ShareRequest
		if json.Unmarshal(data, &request) != nil || request.validate() != nil {
			return
		}
		a := Account{Settled: settled, Shares: map[string]Share{
			"p.0": {Host: "x", Incarnation: "p", Amount: 200, Seq: 1}, "q.0": {Host: "y", Incarnation: "q", Amount: 400, Seq: 1},
		}}
		a.applyRequest(request, prepaid, max(0, reserved))
		assert.Assert(t, a.Settled >= settled)
		for key, s := range a.Shares {
			assert.Assert(t, s.Amount >= 0 && s.Amount <= prepaid, "%s: %d", key, s.Amount)
		}
	})
}

// Guards against a row of the store that another writer has left and that ends the process or adds to a budget.
func FuzzRowsOfTheStore(f *testing.F) {
	for _, seed := range []string{`{}`, `null`, `[]`, `{"settled":-5}`, `{"shares":{"p.0":{"amount":-7}}}`, `{"shares":null}`, `{"customers":{"regie":{"c":-1}}}`, `{"t":"x"}`, `{"incarnation":7}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, err := decodeAccount(data); err == nil {
			for _, s := range a.Shares {
				assert.Assert(t, s.Amount >= 0)
			}
			assert.Assert(t, a.Settled >= 0)
		}
		if r, err := decodeUsage(data); err == nil {
			spent := r.MaxSpent("regie", 0, 1_000, time.Hour)
			assert.Assert(t, spent >= 0 && spent <= 1_000, "%d", spent)
		}
		_, _ = decodeHostRow(data)
	})
}

// Guards against a request whose stated size adds to the budget, or makes hosts hold the whole budget for its like.
func TestImpossibleRequestSizeChangesNothing(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.start("a", "a1", map[string]int64{"regie": 100_000})
	for _, tokens := range []int64{-1, math.MinInt64, 100_001, math.MaxInt64} {
		_, err := n.Reserve(t.Context(), "regie", tokens)
		assert.Assert(t, errors.Is(err, ErrExhausted), "%d: %v", tokens, err)
	}
	assert.Equal(t, n.usedTokens("regie"), int64(0))
	n.mu.Lock()
	peak := n.pools["regie"].ledger.meter.peakRequest
	n.mu.Unlock()
	assert.Equal(t, peak, 0.0)
}
