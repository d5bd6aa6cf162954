package home

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// immediateCommitter reports every operation as committed at once.
type immediateCommitter struct{}

// Submit implements Committer.
func (immediateCommitter) Submit(op commit.Op) { go op.Done(commit.Result{Revision: 1}) }

// Guards against an idle home that writes bill lines later than a busy one, and
// against a home that writes no lines after it was idle.
func TestIdleHomeWritesLinesWithinFlushInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		raw, err := json.Marshal(budget.Record{ID: "b", Customer: "c", Limit: 1_000_000})
		assert.NilError(t, err)
		_, err = table.Commit(t.Context(), storage.Txn{ID: "t", Puts: []storage.Put{{Key: budget.BudgetKey("b"), Value: raw}}})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		l := NewLocal(Options{
			Holder: "h", Table: table, Committer: immediateCommitter{},
			Policies: func(string) (budget.Policy, bool) {
				return budget.Policy{Cover: time.Minute, MinTokens: 1000, MaxShare: 0.5}, true
			},
		})
		stopped := make(chan struct{})
		go func() { defer close(stopped); l.Run(ctx) }()
		for _, request := range []string{"r1", "r2", "r3"} {
			time.Sleep(3*time.Second + 7*time.Millisecond) // the home is idle, and the request falls between two ticks
			reserve := ReserveRequest{Customer: "c", Budget: "b", Request: request, Attempt: 1, Bound: 10, Target: "t", Entry: "e"}
			reply, err := l.Reserve(ctx, reserve)
			assert.NilError(t, err)
			assert.Equal(t, reply.Outcome, Granted)
			begin := time.Now()
			settled, err := l.Settle(ctx, SettleRequest{
				Customer: "c", Budget: "b", Request: request, Grant: reply.Grant, Stream: reply.Stream, Target: "t", Entry: "e",
				Outcome: Completed, Tokens: 5, UsageKnown: true, Final: true, Bound: 10,
			})
			assert.NilError(t, err)
			assert.Assert(t, settled.Durable)
			waited := time.Since(begin)
			assert.Assert(t, waited <= DefaultFlushInterval+tickInterval, "waited %s", waited)
		}
		cancel()
		<-stopped
	})
}
