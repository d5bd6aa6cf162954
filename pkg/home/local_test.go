package home

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

func request(id string) ReserveRequest {
	return ReserveRequest{Customer: "c", Budget: "b", Request: id, Fingerprint: "f" + id, Attempt: 1, Bound: 50, Target: "t1", Entry: "e1"}
}

func completed(req ReserveRequest, stream string, tokens int64) SettleRequest {
	s := req.undispatched(stream)
	s.Outcome = Completed
	s.Tokens = tokens
	return s
}

// reserveAndAwait sends a reservation, applies the operations of the daemon until
// the reply arrives, and returns it.
func reserveAndAwait(t *testing.T, cluster *testCluster, d *daemon, req ReserveRequest) ReserveReply {
	t.Helper()
	reply := cluster.reserve(d, req)
	for len(reply) == 0 && len(d.committer.queue) > 0 {
		cluster.commitNext(d)
		cluster.deliver(d)
	}
	if len(reply) == 0 {
		cluster.tick(d, DefaultReserveWait)
	}
	assert.Equal(t, len(reply), 1)
	return (<-reply).reply
}

// Guards against a reservation that is granted before the debit of its grant is
// durable in the budget row.
func TestLocalReserveWaitsForDurableGrant(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	reply := cluster.reserve(d, request("r1"))
	assert.Equal(t, len(reply), 0, "the reservation was answered before its grant was durable")
	cluster.commitNext(d)
	cluster.deliver(d)
	r := (<-reply).reply
	assert.Equal(t, r.Outcome, Granted)
	assert.Equal(t, cluster.budget("b").Granted, int64(200))
}

// Guards against a second bill line, or a second charge, for one request whose
// attempt is settled twice.
func TestLocalSettleIsIdempotent(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	req := request("r1")
	r := reserveAndAwait(t, cluster, d, req)
	first := cluster.settle(d, completed(req, r.Stream, 20))
	second := cluster.settle(d, completed(req, r.Stream, 20))
	cluster.runUntilIdle(d)
	assert.Assert(t, (<-first).Durable)
	assert.Assert(t, (<-second).Durable)
	line := cluster.lines("c")["r1"]
	assert.Equal(t, line.Total(), int64(20))
	assert.Equal(t, line.Attempts, 1)
}

// Guards against the refusal of a request that fits into the budget after a
// running attempt settles below its bound.
func TestLocalWaitsForRunningAttemptToSettle(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 60)
	d := cluster.daemons[0]
	first := request("r1")
	r := reserveAndAwait(t, cluster, d, first)
	waiting := cluster.reserve(d, request("r2"))
	assert.Equal(t, len(waiting), 0)
	cluster.settle(d, completed(first, r.Stream, 10))
	for range 4 {
		cluster.tick(d, DefaultReserveWait/5)
		for len(d.committer.queue) > 0 {
			cluster.commitNext(d)
			cluster.deliver(d)
		}
	}
	assert.Equal(t, len(waiting), 1, "the waiting request was neither granted nor refused")
	assert.Equal(t, (<-waiting).reply.Outcome, Granted)
}

// Guards against a request on an exhausted budget that is refused late or with a wrong
// verdict.
func TestLocalRefusesExhaustedBudgetAtOnce(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 40)
	r := (<-cluster.reserve(cluster.daemons[0], request("r1"))).reply
	assert.Equal(t, r.Outcome, Refused)
	assert.Equal(t, r.Refusal.Reason, verdict.BudgetExhausted)
	assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
	assert.Assert(t, r.Refusal.RetryAfter > 0)
}

// Guards against an unknown budget that is reported as a table outage.
func TestLocalRefusesUnknownBudget(t *testing.T) {
	cluster := newTestCluster(1)
	r := (<-cluster.reserve(cluster.daemons[0], request("r1"))).reply
	assert.Equal(t, r.Refusal.Reason, verdict.UnknownBudget)
}

// Guards against spending more than the grant during a table outage, and against
// the refusal of a request that the grant covers.
func TestLocalServesFromGrantWhileTableIsDown(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	reserveAndAwait(t, cluster, d, request("r1"))
	cluster.table.down = true
	for _, id := range []string{"r2", "r3", "r4"} {
		assert.Equal(t, (<-cluster.reserve(d, request(id))).reply.Outcome, Granted)
	}
	reply := cluster.reserve(d, request("r5"))
	cluster.tick(d, DefaultReserveWait)
	r := (<-reply).reply
	assert.Equal(t, r.Refusal.Reason, verdict.BudgetUnreachable)
}

// Guards against a non-idempotent request that is dispatched before its claim
// is durable, and against a second run through another daemon.
func TestLocalRunsNonIdempotentRequestOnce(t *testing.T) {
	cluster := newTestCluster(2)
	cluster.createBudget("b", 1000)
	req := request("r1")
	req.NonIdempotent = true
	first := reserveAndAwait(t, cluster, cluster.daemons[0], req)
	assert.Equal(t, first.Outcome, Granted)
	req.Entry = "e2"
	req.Target = "t2"
	second := reserveAndAwait(t, cluster, cluster.daemons[1], req)
	assert.Equal(t, second.Outcome, Attach)
	assert.Equal(t, second.Stream, first.Stream)
	assert.Equal(t, second.Target, "t1")
	req.LostStream = first.Stream
	third := reserveAndAwait(t, cluster, cluster.daemons[1], req)
	assert.Equal(t, third.Refusal.Reason, verdict.ClaimHeld)
	assert.Equal(t, third.Refusal.Verdict, verdict.MayHaveRun)
}

// Guards against a claim that outlives a "not run" refusal and blocks the retry.
func TestLocalClaimTimeoutLeavesNoClaim(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	reserveAndAwait(t, cluster, d, request("r0"))
	req := request("r1")
	req.NonIdempotent = true
	reply := cluster.reserve(d, req)
	cluster.tick(d, DefaultReserveWait)
	r := (<-reply).reply
	assert.Equal(t, r.Refusal.Reason, verdict.ClaimUnavailable)
	assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
	cluster.runUntilIdle(d)
	assert.Equal(t, len(cluster.table.keys("claim/")), 0)
	assert.Equal(t, reserveAndAwait(t, cluster, d, req).Outcome, Granted)
}

// Guards against a request that crashes one target after another, also when
// another home takes over.
func TestLocalStopsCrashingRequest(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	for i, target := range []string{"t1", "t2"} {
		req := request("r1")
		req.Attempt = i + 1
		req.Target = target
		r := reserveAndAwait(t, cluster, d, req)
		assert.Equal(t, r.Outcome, Granted)
		s := completed(req, r.Stream, 0)
		s.Outcome = Failed
		s.TargetDied = true
		s.UsageKnown = false
		cluster.settle(d, s)
	}
	req := request("r1")
	req.Attempt = 3
	r := reserveAndAwait(t, cluster, d, req)
	assert.Equal(t, r.Refusal.Reason, verdict.RequestCrashesTargets)
	assert.Equal(t, r.Refusal.Verdict, verdict.MayHaveRun)
	cluster.runUntilIdle(d)
	fresh := newTestCluster(0)
	fresh.table = cluster.table
	other := fresh.newDaemon(7)
	other.local.loadCrashes(t.Context())
	assert.Equal(t, reserveAndAwait(t, fresh, other, req).Refusal.Reason, verdict.RequestCrashesTargets, "the next home did not load the crash record")
}

// Guards against overspending by a daemon that resumes after a pause longer than
// its lease: the tokens that it can still authorise were charged to the budget when
// its grant was written off.
func TestLocalPausedHolderCannotOverspend(t *testing.T) {
	cluster := newTestCluster(2)
	cluster.createBudget("b", 400)
	paused, live := cluster.daemons[0], cluster.daemons[1]
	reserveAndAwait(t, cluster, paused, request("r1"))
	cluster.fence(paused)
	assert.Equal(t, cluster.budget("b").Settled, int64(200))
	cluster.now = cluster.now.Add(DefaultGrantIdle)
	resumed := (<-cluster.reserve(paused, request("r2"))).reply
	assert.Equal(t, resumed.Outcome, Granted, "the resumed holder refused a request that its written-off grant covers")
	var spent int64 = 200
	for i := range 10 {
		req := request("live" + string(rune('a'+i)))
		if r := reserveAndAwait(t, cluster, live, req); r.Outcome == Granted {
			spent += req.Bound
		}
	}
	assert.Assert(t, spent <= 400, "spent %d", spent)
}

// Guards against a bill line that is lost, or charged twice, because the holder of
// its grant was fenced before the line was durable.
func TestLocalLateLineMovesWrittenOffTokens(t *testing.T) {
	cluster := newTestCluster(2)
	cluster.createBudget("b", 1000)
	dead, live := cluster.daemons[0], cluster.daemons[1]
	req := request("r1")
	r := reserveAndAwait(t, cluster, dead, req)
	cluster.settle(dead, completed(req, r.Stream, 30))
	early := cluster.settle(live, completed(req, r.Stream, 30))
	assert.Assert(t, !(<-early).Durable, "settled by another daemon while the holder may still settle it")
	cluster.fence(dead)
	before := cluster.budget("b")
	late := cluster.settle(live, completed(req, r.Stream, 30))
	cluster.runUntilIdle(live)
	assert.Assert(t, (<-late).Durable)
	assert.Equal(t, cluster.lines("c")["r1"].Total(), int64(30))
	assert.Equal(t, cluster.budget("b").Settled, before.Settled)
	var g budget.GrantRecord
	cluster.table.decode(budget.GrantKey(dead.holder, r.Grant), &g)
	assert.Equal(t, g.Used, int64(30))
	assert.Equal(t, g.WrittenOff, int64(170))
}

// Guards against grants whose unused tokens are not returned in a graceful stop.
func TestLocalLeaveReturnsGrants(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	req := request("r1")
	r := reserveAndAwait(t, cluster, d, req)
	d.local.process(leaveMessage{})
	assert.ErrorIs(t, (<-cluster.reserve(d, request("r2"))).err, ErrLeaving)
	cluster.settle(d, completed(req, r.Stream, 20))
	cluster.runUntilIdle(d)
	assert.Equal(t, cluster.budget("b").Granted, int64(0))
	assert.Equal(t, cluster.budget("b").Settled, int64(20))
}

// Guards against a graceful stop that takes a second per grant: daemons with ten
// grants on a budget did not stop within ten seconds.
func TestLocalLeaveClosesGrantsWithoutDelay(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 100_000)
	d := cluster.daemons[0]
	var settles []SettleRequest
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		req := request(id)
		req.Bound = 1000
		r := reserveAndAwait(t, cluster, d, req)
		assert.Equal(t, r.Outcome, Granted)
		settles = append(settles, completed(req, r.Stream, 10))
	}
	assert.Assert(t, len(d.local.grants) >= 3, "%d grants", len(d.local.grants))
	for _, s := range settles {
		cluster.settle(d, s)
	}
	d.local.process(leaveMessage{})
	cluster.tick(d, sweepInterval) // flushes the lines
	commitAll(cluster, d)
	cluster.tick(d, sweepInterval) // starts the first close
	commitAll(cluster, d)
	assert.Equal(t, len(d.local.grants), 0)
	assert.Equal(t, cluster.budget("b").Granted, int64(0))
	assert.Equal(t, cluster.budget("b").Settled, int64(40))
}

// commitAll applies operations until the daemon submits no more.
func commitAll(cluster *testCluster, d *daemon) {
	for len(d.committer.queue) > 0 {
		cluster.commitNext(d)
		cluster.deliver(d)
	}
}

// Guards against a grant row that lists a stream without a bill line as settled.
func TestLocalGrantRowNamesSettledStreams(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	settled, running := request("r1"), request("r2")
	r := reserveAndAwait(t, cluster, d, settled)
	reserveAndAwait(t, cluster, d, running)
	cluster.settle(d, completed(settled, r.Stream, 20))
	cluster.tick(d, DefaultFlushInterval)
	cluster.commitNext(d)
	cluster.deliver(d)
	var g budget.GrantRecord
	cluster.table.decode(budget.GrantKey(d.holder, r.Grant), &g)
	assert.Equal(t, g.Used, int64(20))
	assert.DeepEqual(t, g.Settled.Missing(2), []int64{1})
	assert.Assert(t, g.Streams > 2)
}

// Guards against a late reply to a fenced incarnation that is taken as the reply
// to an operation of the next incarnation, which would then debit the budget twice
// for one request.
func TestLateReplyOfFencedIncarnationIsIgnored(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	cluster.reserve(d, request("r1"))
	assert.Equal(t, len(d.committer.queue), 1)
	late := d.committer.queue[0]
	cluster.restart(d)
	cluster.reserve(d, request("r2"))
	assert.Equal(t, len(d.committer.queue), 1)
	assert.Assert(t, d.local.budget("b").busy)
	late.Done(commit.Result{Err: commit.ErrFenced})
	cluster.handleMessages(d)
	assert.Assert(t, d.local.budget("b").busy)
}

// Guards against a complete answer that is billed as a failed attempt: the first
// caller disconnected and a retry read the stream to its end.
func TestLocalBillsAnswerOfAbandonedStream(t *testing.T) {
	for _, closed := range []bool{false, true} {
		cluster := newTestCluster(1)
		cluster.createBudget("b", 1000)
		d := cluster.daemons[0]
		req := request("r1")
		r := reserveAndAwait(t, cluster, d, req)
		failed := completed(req, r.Stream, 22)
		failed.Outcome = Failed
		cluster.settle(d, failed)
		early := cluster.settle(d, completed(req, r.Stream, 22))
		assert.Assert(t, !(<-early).Durable, "the settlement was answered as durable before the line was")
		cluster.runUntilIdle(d)
		if closed {
			cluster.tick(d, DefaultGrantIdle)
			cluster.runUntilIdle(d)
			assert.Equal(t, d.local.ledger.OpenGrants(), 0)
		}
		late := cluster.settle(d, completed(req, r.Stream, 22))
		cluster.runUntilIdle(d)
		assert.Assert(t, (<-late).Durable)
		line := cluster.lines("c")["r1"]
		assert.Assert(t, line.Completed)
		assert.Equal(t, line.Tokens, int64(22))
		assert.Equal(t, line.ExtraTokens, int64(0))
	}
}

// Guards against the refusal of a request that the unreserved tokens of two idle
// grants cover together, while a third grant of the budget is in use.
func TestLocalMergesIdleGrantsWhileAnotherIsInUse(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.policy = budget.Policy{MinTokens: 100, MaxShare: 1}
	cluster.createBudget("b", 300)
	d := cluster.daemons[0]
	var replies []ReserveReply
	for i, bound := range []int64{40, 70, 90} {
		req := request("r" + string(rune('1'+i)))
		req.Bound = bound
		replies = append(replies, reserveAndAwait(t, cluster, d, req))
		assert.Equal(t, replies[i].Outcome, Granted)
	}
	assert.Equal(t, len(d.local.grants), 3)
	for i, bound := range []int64{40, 70} {
		req := request("r" + string(rune('1'+i)))
		req.Bound = bound
		cluster.settle(d, completed(req, replies[i].Stream, 40))
	}
	cluster.tick(d, DefaultFlushInterval)
	commitAll(cluster, d)
	req := request("r4")
	req.Bound = 100
	r := reserveAndAwait(t, cluster, d, req)
	assert.Equal(t, r.Outcome, Granted, "%v", r.Refusal)
	b := cluster.budget("b")
	assert.Assert(t, b.Granted+b.Settled <= b.Limit, "%+v", b)
}

// Guards against the grant of a reservation that arrives after its release, as
// after a network partition: no daemon would settle it, and its grant would stay
// open.
func TestReleaseRejectsLateReservation(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	req := request("r1")
	req.Call = "call-1"
	assert.Assert(t, (<-cluster.settle(d, req.undispatched(""))).Durable)
	late := <-cluster.reserve(d, req)
	assert.ErrorIs(t, late.err, errReleased)
	req.Call = "call-2"
	assert.Equal(t, reserveAndAwait(t, cluster, d, req).Outcome, Granted)
}

// Guards against a reservation that is granted after its release because it
// waited for a grant meanwhile.
func TestReleaseRejectsWaitingReservation(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	req := request("r1")
	req.Call = "call-1"
	reply := cluster.reserve(d, req)
	assert.Equal(t, len(reply), 0)
	cluster.settle(d, req.undispatched(""))
	cluster.commitNext(d)
	cluster.deliver(d)
	assert.ErrorIs(t, (<-reply).err, errReleased)
	assert.Equal(t, d.local.ledger.OpenReservations(), 0)
}

// Guards against the release of a lost call that gives back the tokens of a
// later call of the same request, which is running.
func TestReleaseKeepsLaterReservation(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	lost, later := request("r1"), request("r1")
	lost.Call, later.Call = "call-1", "call-2"
	r := reserveAndAwait(t, cluster, d, later)
	cluster.settle(d, lost.undispatched(""))
	_, running := d.local.ledger.Reservation(r.Stream)
	assert.Assert(t, running)
}

// Guards against a home with an older bundle that refuses a customer which the
// entry daemon knows: the caller would be told that its key is unknown.
func TestLocalWithoutPolicyReturnsErrNoPolicy(t *testing.T) {
	cluster := newTestCluster(1)
	d := cluster.daemons[0]
	d.local.opts.Policies = func(string) (budget.Policy, bool) { return budget.Policy{}, false }
	assert.ErrorIs(t, (<-cluster.reserve(d, request("r1"))).err, ErrNoPolicy)
}
