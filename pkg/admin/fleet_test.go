package admin

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// Guards against a bill whose sum does not match its lines, or that includes lines
// of a customer whose id has this customer's id as a prefix.
func TestBillSumMatchesLines(t *testing.T) {
	f := newTestServerWithBundle(t)
	f.putRow(t, budget.LineKey("regie", "r1"), budget.Line{Customer: "regie", Request: "r1", Tokens: 5})
	f.putRow(t, budget.LineKey("regie", "r2"), budget.Line{Customer: "regie", Request: "r2", Tokens: 7, ExtraTokens: 3})
	f.putRow(t, budget.LineKey("regie2", "r3"), budget.Line{Customer: "regie2", Request: "r3", Tokens: 90})
	f.table.Set(budget.LineKey("regie", "bad"), "1")
	bill, err := f.clientAs("alice").Bill(context.Background(), "regie", "", 0)
	assert.NilError(t, err)
	assert.Equal(t, bill.SumTokens, int64(12))
	assert.Equal(t, bill.SumExtra, int64(3))
	assert.Equal(t, len(bill.Lines), 2)
	assert.DeepEqual(t, bill.Unreadable, []string{"bill/regie/bad"})
}

// Guards against an explanation that states more than the rows show. The request
// id contains characters that must be escaped in a path.
func TestRequestExplanation(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	const id = "run 7/a+b%"
	reply, err := f.clientAs("alice").Request(ctx, "regie", id)
	assert.NilError(t, err)
	assert.Equal(t, reply.Explanation, explanationWithoutRows)

	f.putRow(t, claim.Key("regie", id), claim.Record{Customer: "regie", Request: id, Fingerprint: "fp", Entry: "d1", Target: "t1", Stream: "g.1", ClaimedAt: testNow.UnixMilli()})
	reply, err = f.clientAs("alice").Request(ctx, "regie", id)
	assert.NilError(t, err)
	assert.Equal(t, reply.Request, id)
	assertContains(t, reply.Explanation, "never run again", "no bill line yet")

	f.putRow(t, claim.CrashKey("fp"), claim.CrashRecord{Fingerprint: "fp", Targets: []string{"t1", "t2"}, LastSeen: testNow.UnixMilli()})
	f.putRow(t, budget.LineKey("regie", id), budget.Line{Customer: "regie", Request: id, Tokens: 9, Estimated: true, Attempts: 2, BilledAt: testNow.UnixMilli()})
	reply, err = f.clientAs("alice").Request(ctx, "regie", id)
	assert.NilError(t, err)
	assertContains(t, reply.Explanation, "billed once, at 2027-01-15T08:00:00Z: 9 tokens", "may have run", "upper bound", "crashed 2 targets (t1, t2)")
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "explanation %q does not contain %q", text, part)
	}
}

// Guards against a drain order for an unknown target that is reported as successful.
func TestListAndDrainTargets(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	f.backend.targets = []target.Status{
		{Target: target.Target{ID: "b", Service: "x"}, State: target.Ready},
		{Target: target.Target{ID: "a", Service: "x"}, State: target.Draining},
	}
	reply, err := f.clientAs("alice").Targets(ctx)
	assert.NilError(t, err)
	assert.Equal(t, reply.Targets[0].Target.ID, "a")
	_, err = f.clientAs("alice").Drain(ctx, "b")
	assert.NilError(t, err)
	assert.DeepEqual(t, f.backend.drained, []string{"b"})
	_, err = f.clientAs("alice").Drain(ctx, "c")
	requireError(t, err, NotFound, `"c"`)
}

// Guards against leaving out repairs of this daemon or of other daemons.
func TestListRepairs(t *testing.T) {
	f := newTestServerWithBundle(t)
	f.table.Set("repair/2026-01-01T00:00:00Z-x", `{"text":"closed a grant"}`)
	f.backend.localRepairs = []RepairEntry{{At: testNow, Subject: "holder a", Text: "fenced"}}
	reply, err := f.clientAs("alice").Repairs(context.Background(), "", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Rows[0].Value), `{"text":"closed a grant"}`)
	assert.Equal(t, reply.LocalRepairs[0].Text, "fenced")
	assert.Assert(t, reply.LocalRepairs[0].At.Equal(testNow.Truncate(time.Second)))
}

// Guards against a list of customers that exposes key hashes.
func TestCustomersOmitKeyHashes(t *testing.T) {
	f := newTestServerWithBundle(t)
	reply, err := f.clientAs("alice").Customers(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(1))
	assert.Equal(t, reply.Customers[0].Keys, 1)
	assert.Equal(t, reply.Customers[0].Budget, "regie-main")
}
