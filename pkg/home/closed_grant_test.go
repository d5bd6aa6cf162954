package home

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// fencedGrant reserves requests at one daemon, fences that daemon and returns the
// reservations with their requests. Their settlements then reach another daemon.
func fencedGrant(t *testing.T, cluster *testCluster, requests int) (d *daemon, reqs []ReserveRequest, streams []string) {
	t.Helper()
	cluster.policy = budget.Policy{MinTokens: 10_000, MaxShare: 1}
	cluster.createBudget("b", 10_000)
	for i := range requests {
		req := request(fmt.Sprintf("r%d", i))
		r := reserveAndAwait(t, cluster, cluster.daemons[0], req)
		assert.Equal(t, r.Outcome, Granted)
		reqs = append(reqs, req)
		streams = append(streams, r.Stream)
	}
	cluster.fence(cluster.daemons[0])
	return cluster.daemons[1], reqs, streams
}

// Guards against late lines of one grant that conflict with each other on its row.
// Each conflict costs a transaction of the committer's 15 per second, so that the
// lines of 16 concurrent settlements became durable at one per 1.2 s and a daemon
// did not stop in time.
func TestLateLinesOfOneGrantDoNotConflict(t *testing.T) {
	const requests = 100
	cluster := newTestCluster(2)
	d, reqs, streams := fencedGrant(t, cluster, requests)
	var replies []chan SettleReply
	for i, req := range reqs {
		replies = append(replies, cluster.settle(d, completed(req, streams[i], 20)))
	}
	operations := 0
	for len(d.committer.queue) > 0 {
		operations++
		cluster.commitNext(d)
		cluster.deliver(d)
	}
	for i, reply := range replies {
		assert.Equal(t, len(reply), 1, "the settlement of %s was not answered", reqs[i].Request)
		assert.Assert(t, (<-reply).Durable, reqs[i].Request)
	}
	assert.Assert(t, operations <= 2, "%d operations for %d lines of one grant", operations, requests)
	assert.Equal(t, len(cluster.lines("c")), requests)
	var grant budget.GrantRecord
	cluster.table.decode(budget.GrantKey(cluster.daemons[0].holder, budget.GrantOfStream(streams[0])), &grant)
	assert.Equal(t, grant.Used, int64(20*requests))
	assert.Equal(t, grant.WrittenOff, int64(10_000-20*requests))
}

// Guards against two charges for one stream whose settlement arrives again while
// its late line is being written, and against an operation that writes one line
// twice, which the table rejects.
func TestLateLineIsSettledOnce(t *testing.T) {
	cluster := newTestCluster(2)
	d, reqs, streams := fencedGrant(t, cluster, 2)
	var replies []chan SettleReply
	for range 3 {
		for i, req := range reqs {
			replies = append(replies, cluster.settle(d, completed(req, streams[i], 20)))
		}
	}
	for len(d.committer.queue) > 0 {
		written := make(map[string]bool)
		for _, put := range d.committer.queue[0].Puts {
			assert.Assert(t, !written[put.Key], "%s is written twice by one operation", put.Key)
			written[put.Key] = true
		}
		cluster.commitNext(d)
		cluster.deliver(d)
	}
	for _, reply := range replies {
		assert.Assert(t, (<-reply).Durable)
	}
	for _, line := range cluster.lines("c") {
		assert.Equal(t, line.Total(), int64(20))
	}
}

// Guards against a late settlement that is never answered because an operation for
// the same grant failed, or because the grant was not closed yet.
func TestLateLineIsAnsweredAfterFailure(t *testing.T) {
	cluster := newTestCluster(2)
	d, reqs, streams := fencedGrant(t, cluster, 3)
	first := cluster.settle(d, completed(reqs[0], streams[0], 20))
	second := cluster.settle(d, completed(reqs[1], streams[1], 20))
	grantKey := budget.GrantKey(cluster.daemons[0].holder, budget.GrantOfStream(streams[0]))
	var grant budget.GrantRecord
	cluster.table.decode(grantKey, &grant)
	cluster.table.put(grantKey, grant) // another daemon writes the row, so the submitted operation conflicts
	for len(d.committer.queue) > 0 {
		cluster.commitNext(d)
		cluster.deliver(d)
	}
	assert.Assert(t, !(<-first).Durable)
	assert.Assert(t, (<-second).Durable)

	grant.State = budget.GrantOpen
	cluster.table.put(grantKey, grant)
	assert.Assert(t, !(<-cluster.settle(d, completed(reqs[2], streams[2], 20))).Durable)
	grant.State = budget.GrantClosed
	cluster.table.put(grantKey, grant)
	third := cluster.settle(d, completed(reqs[2], streams[2], 20))
	for len(d.committer.queue) > 0 {
		cluster.commitNext(d)
		cluster.deliver(d)
	}
	assert.Assert(t, (<-third).Durable)
}
