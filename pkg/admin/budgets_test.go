package admin

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a repeated command that adds tokens twice, and against a second
// payment that is ignored because it reuses the id of the first.
func TestTopUpIsIdempotent(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	c := f.clientAs("alice")
	reply, err := c.CreateBudget(ctx, CreateBudget{ID: "regie-main", Customer: "regie", Tokens: 100})
	assert.NilError(t, err)
	assert.Assert(t, reply.Applied)
	reply, err = c.CreateBudget(ctx, CreateBudget{ID: "regie-main", Customer: "regie", Tokens: 100})
	assert.NilError(t, err)
	assert.Assert(t, !reply.Applied)
	_, err = c.CreateBudget(ctx, CreateBudget{ID: "regie-main", Customer: "regie", Tokens: 200})
	requireError(t, err, Conflict, "top-up")

	for i := range 3 {
		reply, err = c.TopUp(ctx, "regie-main", TopUp{ID: "order-7", Tokens: 50})
		assert.NilError(t, err)
		assert.Equal(t, reply.Applied, i == 0)
		assert.Equal(t, reply.Free, int64(150))
	}
	_, err = c.TopUp(ctx, "regie-main", TopUp{ID: "order-7", Tokens: 51})
	requireError(t, err, Conflict, "order-7", "50 tokens")
	assert.Equal(t, f.budget(t, "regie-main").Limit, int64(150))
}

// Guards against creating or topping up a budget that no customer can use, and
// against accepting an invalid id or number of tokens.
func TestCreateBudgetRefusals(t *testing.T) {
	ctx := context.Background()
	empty := newTestServer(t)
	_, err := empty.clientAs("alice").CreateBudget(ctx, CreateBudget{ID: "b", Customer: "regie"})
	requireError(t, err, NotFound, "no bundle")

	f := newTestServerWithBundle(t)
	c := f.clientAs("alice")
	cases := []struct {
		create CreateBudget
		code   Code
		part   string
	}{
		{CreateBudget{ID: "b", Customer: "reggie"}, BadRequest, "reggie"},
		{CreateBudget{ID: "a/b", Customer: "regie"}, BadRequest, "a/b"},
		{CreateBudget{ID: "b", Customer: "regie", Tokens: -1}, BadRequest, "-1"},
		{CreateBudget{ID: "b", Customer: "regie", Tokens: maxTopUpTokens + 1}, BadRequest, "allowed are 0"},
		{CreateBudget{ID: "office-main", Customer: "regie"}, Conflict, "office"},
	}
	for _, test := range cases {
		_, err := c.CreateBudget(ctx, test.create)
		requireError(t, err, test.code, test.part)
	}
	_, err = c.TopUp(ctx, "nope", TopUp{ID: "a", Tokens: 1})
	requireError(t, err, NotFound, "create it first")
	_, err = c.TopUp(ctx, "nope", TopUp{ID: "a", Tokens: 0})
	requireError(t, err, BadRequest, "tokens 0")
	_, err = c.TopUp(ctx, "nope", TopUp{ID: "", Tokens: 1})
	requireError(t, err, BadRequest, "id")
}

// Guards against a budget limit that JSON readers cannot represent exactly.
func TestTopUpRefusesOverflow(t *testing.T) {
	f := newTestServerWithBundle(t)
	f.putRow(t, budget.BudgetKey("regie-main"), budget.Record{ID: "regie-main", Customer: "regie", Limit: maxBudgetTokens - 5})
	_, err := f.clientAs("alice").TopUp(context.Background(), "regie-main", TopUp{ID: "a", Tokens: 6})
	requireError(t, err, BadRequest, "5 more")
	_, err = f.clientAs("alice").TopUp(context.Background(), "regie-main", TopUp{ID: "a", Tokens: 5})
	assert.NilError(t, err)
}

// Guards against top-ups that are lost or applied twice because of lost replies or
// concurrent writers.
func TestConcurrentTopUpsWithLostReplies(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	_, err := f.clientAs("alice").CreateBudget(ctx, CreateBudget{ID: "regie-main", Customer: "regie"})
	assert.NilError(t, err)
	submissions, transactions := make(map[string]int), 0
	f.table.Fault = func(txn storage.Txn) faketable.Fault { // called under the table's lock
		if submissions[txn.ID] == 0 {
			transactions++
		}
		submissions[txn.ID]++
		if submissions[txn.ID] > 2 { // the policy of the fixture submits three times
			return faketable.NoFault
		}
		return []faketable.Fault{faketable.LostReply, faketable.LostRequest}[(transactions+submissions[txn.ID])%2]
	}
	const writers, topUpsPerWriter = 4, 5
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range topUpsPerWriter {
				id := fmt.Sprintf("w%d-%d", w, i)
				for range 2 { // an operator repeats the command
					if _, err := f.clientAs("alice").TopUp(ctx, "regie-main", TopUp{ID: id, Tokens: 10}); err != nil {
						t.Errorf("top-up %s: %v", id, err)
					}
				}
			}
		})
	}
	group.Wait()
	record := f.budget(t, "regie-main")
	assert.Equal(t, record.Limit, int64(writers*topUpsPerWriter*10))
	assert.Equal(t, len(record.TopUps), writers*topUpsPerWriter)
}

// Guards against leaving out an open grant of the budget, and against counting
// closed grants or grants of other budgets.
func TestShowBudget(t *testing.T) {
	f := newTestServerWithBundle(t)
	f.putRow(t, budget.BudgetKey("regie-main"), budget.Record{ID: "regie-main", Customer: "regie", Limit: 100, Granted: 30, Settled: 20})
	grants := []budget.GrantRecord{
		{ID: "g1", Holder: "a", Budget: "regie-main", Amount: 30, Used: 12, State: budget.GrantOpen},
		{ID: "g2", Holder: "a", Budget: "regie-main", Amount: 20, Used: 20, State: budget.GrantClosed},
		{ID: "g3", Holder: "b", Budget: "office-main", Amount: 10, State: budget.GrantOpen},
	}
	for _, g := range grants {
		f.putRow(t, budget.GrantKey(g.Holder, g.ID), g)
	}
	f.table.Set("grant/z/bad", "7")
	details, err := f.clientAs("alice").Budget(context.Background(), "regie-main")
	assert.NilError(t, err)
	assert.Equal(t, details.Free, int64(50))
	assert.Equal(t, details.OpenUsed, int64(12))
	assert.Equal(t, len(details.OpenGrants), 1)
	assert.DeepEqual(t, details.Unreadable, []string{"grant/z/bad"})
	_, err = f.clientAs("alice").Budget(context.Background(), "nope")
	requireError(t, err, NotFound)
}

// Guards against budgets that are skipped or repeated between pages.
func TestListBudgetsPages(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	for i := range 5 {
		id := fmt.Sprintf("b%d", i)
		f.putRow(t, budget.BudgetKey(id), budget.Record{ID: id})
	}
	var ids []string
	after := ""
	for range 5 {
		list, err := f.clientAs("alice").Budgets(ctx, after, 2)
		assert.NilError(t, err)
		for _, b := range list.Budgets {
			ids = append(ids, b.ID)
		}
		if after = list.Next; after == "" {
			break
		}
	}
	assert.DeepEqual(t, ids, []string{"b0", "b1", "b2", "b3", "b4"})
	_, err := f.clientAs("alice").Budgets(ctx, "", maxPageRows+1)
	requireError(t, err, BadRequest, "limit")
}
