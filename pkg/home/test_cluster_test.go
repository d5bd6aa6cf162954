package home

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/repair"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// queueCommitter queues operations until the test applies them, so that a test can
// delay operations, reorder them relative to other daemons and lose replies.
type queueCommitter struct {
	queue       []commit.Op
	undelivered []func() // calls that deliver the results of applied operations
}

func (c *queueCommitter) Submit(op commit.Op) {
	c.queue = append(c.queue, op)
}

// maxMessagesPerStep limits the messages that one step of a test may cause, so that
// a home that reads the table in an endless loop fails the test instead of blocking
// it.
const maxMessagesPerStep = 10_000

// daemon is a home with its committer and holder row.
type daemon struct {
	local        *Local
	committer    *queueCommitter
	host         int
	holder       string
	incarnations int
	fenced       bool // a commit found the holder row fenced
}

// testCluster is a table with the daemons that use it.
type testCluster struct {
	table   *memoryTable
	daemons []*daemon
	now     time.Time
	policy  budget.Policy
	ended   []string // earlier incarnations of restarted daemons
}

func newTestCluster(daemons int) *testCluster {
	cluster := &testCluster{
		table:  newMemoryTable(),
		now:    time.Unix(1_700_000_000, 0),
		policy: budget.Policy{Cover: time.Minute, MinTokens: 200, MaxShare: 0.5},
	}
	for i := range daemons {
		cluster.daemons = append(cluster.daemons, cluster.newDaemon(i))
	}
	return cluster
}

func (cluster *testCluster) newDaemon(host int) *daemon {
	d := &daemon{committer: &queueCommitter{}, host: host}
	d.local = NewLocal(Options{
		Table:     cluster.table,
		Committer: d.committer,
		Policies:  func(string) (budget.Policy, bool) { return cluster.policy, true },
		Now:       func() time.Time { return cluster.now },
	})
	d.local.async = func(f func()) { f() }
	cluster.register(d)
	return d
}

// register gives the daemon a new incarnation.
func (cluster *testCluster) register(d *daemon) {
	d.incarnations++
	d.holder = fmt.Sprintf("h%d~%d", d.host, d.incarnations)
	cluster.table.put(lease.HolderKey(d.holder), lease.HolderRecord{Incarnation: d.holder})
	d.local.opts.Holder = d.holder
}

func (cluster *testCluster) createBudget(id string, limit int64) {
	cluster.table.put(budget.BudgetKey(id), budget.Record{ID: id, Customer: "c", Limit: limit})
}

func (cluster *testCluster) topUp(id string, tokens int64) {
	var r budget.Record
	cluster.table.decode(budget.BudgetKey(id), &r)
	r.Limit += tokens
	cluster.table.put(budget.BudgetKey(id), r)
}

func (cluster *testCluster) budget(id string) budget.Record {
	var r budget.Record
	cluster.table.decode(budget.BudgetKey(id), &r)
	return r
}

// handleMessages handles all queued messages of a daemon.
func (cluster *testCluster) handleMessages(d *daemon) {
	for range maxMessagesPerStep {
		select {
		case m := <-d.local.inbox:
			d.local.process(m)
		default:
			return
		}
	}
	panic("the home did not stop sending itself messages")
}

// tick advances time and runs the timers of one daemon.
func (cluster *testCluster) tick(d *daemon, by time.Duration) {
	cluster.now = cluster.now.Add(by)
	d.local.tick(cluster.now)
	d.local.wakeMarkedBudgets(cluster.now)
	cluster.handleMessages(d)
}

// commitNext applies the oldest operation of a daemon. deliver delivers its result.
func (cluster *testCluster) commitNext(d *daemon) {
	if len(d.committer.queue) == 0 {
		return
	}
	op := d.committer.queue[0]
	d.committer.queue = d.committer.queue[1:]
	var holder lease.HolderRecord
	cluster.table.decode(lease.HolderKey(d.holder), &holder)
	if holder.Fenced {
		d.fenced = true
		d.committer.undelivered = append(d.committer.undelivered, func() { op.Done(commit.Result{Err: commit.ErrFenced}) })
		return
	}
	result := cluster.table.apply(op)
	d.committer.undelivered = append(d.committer.undelivered, func() { op.Done(result) })
}

// deliver delivers the results of applied operations to the daemon.
func (cluster *testCluster) deliver(d *daemon) {
	deliveries := d.committer.undelivered
	d.committer.undelivered = nil
	for _, f := range deliveries {
		f()
	}
	cluster.handleMessages(d)
	if d.fenced {
		cluster.restart(d)
	}
}

// runUntilIdle ticks a daemon, applies its operations and delivers the results, in
// enough rounds to finish all pending work.
func (cluster *testCluster) runUntilIdle(d *daemon) {
	for range 50 {
		cluster.tick(d, DefaultFlushInterval)
		for len(d.committer.queue) > 0 {
			cluster.commitNext(d)
		}
		cluster.deliver(d)
	}
}

// fence fences a holder and writes off its grants, as the repair role does with a
// holder that did not renew its row in time.
func (cluster *testCluster) fence(d *daemon) {
	var holder lease.HolderRecord
	cluster.table.decode(lease.HolderKey(d.holder), &holder)
	holder.Fenced = true
	cluster.table.put(lease.HolderKey(d.holder), holder)
	for _, key := range cluster.table.keys(budget.GrantPrefix(d.holder)) {
		var g budget.GrantRecord
		cluster.table.decode(key, &g)
		if g.State == budget.GrantClosed {
			continue
		}
		b := cluster.budget(g.Budget)
		b, g = repair.WriteOff(b, g)
		cluster.table.put(budget.BudgetKey(g.Budget), b)
		cluster.table.put(key, g)
	}
}

// recover returns the unspent tokens of an ended holder's grants to the budgets.
// ran returns the tokens that targets ran for a stream.
func (cluster *testCluster) recover(holder string, ran func(stream string) int64) {
	for _, key := range cluster.table.keys(budget.GrantPrefix(holder)) {
		var g budget.GrantRecord
		cluster.table.decode(key, &g)
		if g.State != budget.GrantClosed || g.Resolved || g.WrittenOff == 0 {
			continue
		}
		var used int64
		for _, n := range g.Settled.Missing(g.Streams) {
			used += ran(budget.StreamID(g.ID, n))
		}
		b, g := repair.ReturnUnspent(cluster.budget(g.Budget), g, used)
		cluster.table.put(budget.BudgetKey(g.Budget), b)
		cluster.table.put(key, g)
	}
}

// restart gives a fenced daemon a new incarnation, as a daemon does when a commit
// reports it as fenced.
func (cluster *testCluster) restart(d *daemon) {
	d.committer.queue = nil
	d.committer.undelivered = nil
	d.fenced = false
	old := d.holder
	cluster.ended = append(cluster.ended, old)
	cluster.register(d)
	d.local.opts.Holder = old
	d.local.Reset(d.holder, d.committer)
	cluster.handleMessages(d)
}

// reserve sends a reservation to a daemon and does not wait for the reply.
func (cluster *testCluster) reserve(d *daemon, req ReserveRequest) chan reserveResult {
	m := &reserveMessage{req: req, reply: make(chan reserveResult, 1)}
	d.local.process(m)
	cluster.handleMessages(d)
	return m.reply
}

// settle sends a settlement to a daemon and does not wait for the reply.
func (cluster *testCluster) settle(d *daemon, req SettleRequest) chan SettleReply {
	m := &settleMessage{req: req, reply: make(chan SettleReply, 1)}
	d.local.process(m)
	cluster.handleMessages(d)
	return m.reply
}

// lines returns the bill lines of a customer by request.
func (cluster *testCluster) lines(customer string) map[string]budget.Line {
	lines := make(map[string]budget.Line)
	for _, key := range cluster.table.keys(budget.LinePrefix(customer)) {
		var line budget.Line
		cluster.table.decode(key, &line)
		lines[line.Request] = line
	}
	return lines
}

func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

var _ storage.Table = (*memoryTable)(nil)
