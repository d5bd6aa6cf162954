package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// machineRounds is the number of rapid runs in sequence per check. A single run
// of 30 steps on average rarely spends from a budget after a write-off.
const machineRounds = 5

// attemptState is the state of an attempt at its entry daemon and in the engines.
type attemptState struct {
	home  *daemon
	req   ReserveRequest
	reply chan reserveResult // nil after the reply was read

	stream  string
	ran     int64 // tokens that the engines ran
	settle  *SettleRequest
	settled chan SettleReply // nil unless a settlement has no reply yet
	durable bool
}

// authorityMachine drives several homes over one table with delayed and lost
// replies, paused holders, write-offs and top-ups. The oracle is the record of
// what the engines ran for each budget and request.
type authorityMachine struct {
	cluster        *testCluster
	attempts       []*attemptState
	limit          map[string]int64 // limit in tokens, by budget
	ranByBudget    map[string]int64 // tokens that the engines ran, by budget
	runsByRequest  map[string]int   // number of runs, by request
	maxAnswer      map[string]int64 // tokens of the largest complete answer, by request
	nextRequest    int
	deadEntries    map[string]bool // entry daemons that crashed
	entriesStarted int             // number of entry daemons started so far
	recoveries     int             // recoveries that returned tokens
}

func newAuthorityMachine(t *rapid.T) *authorityMachine {
	m := &authorityMachine{
		cluster:        newTestCluster(3),
		limit:          make(map[string]int64),
		ranByBudget:    make(map[string]int64),
		runsByRequest:  make(map[string]int),
		maxAnswer:      make(map[string]int64),
		deadEntries:    make(map[string]bool),
		entriesStarted: 3,
	}
	for _, id := range []string{"b", "d"} {
		limit := rapid.Int64Range(100, 700).Draw(t, "limit "+id)
		m.limit[id] = limit
		m.cluster.createBudget(id, limit)
	}
	return m
}

func (m *authorityMachine) daemon(t *rapid.T) *daemon {
	return rapid.SampledFrom(m.cluster.daemons).Draw(t, "daemon")
}

// pick draws an attempt for which keep returns true, nil if there is none.
func (m *authorityMachine) pick(t *rapid.T, keep func(*attemptState) bool) *attemptState {
	var matching []*attemptState
	for _, a := range m.attempts {
		if keep(a) {
			matching = append(matching, a)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "attempt")
}

// Request sends a request, in half of the cases an earlier one again.
func (m *authorityMachine) Request(t *rapid.T) {
	d := m.daemon(t)
	n := m.nextRequest
	if n > 0 && rapid.Bool().Draw(t, "repeat") {
		n = rapid.IntRange(0, n-1).Draw(t, "earlier")
	} else {
		m.nextRequest++
	}
	req := ReserveRequest{
		Customer:      "c",
		Budget:        []string{"b", "d"}[n%2],
		Request:       fmt.Sprintf("r%d", n),
		Fingerprint:   fmt.Sprintf("f%d", n),
		NonIdempotent: n%3 == 0,
		Attempt:       1,
		Bound:         rapid.Int64Range(1, 150).Draw(t, "bound"),
		Target:        fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "target")),
		Entry:         m.entry(t),
	}
	a := &attemptState{home: d, req: req}
	a.reply = m.cluster.reserve(d, req)
	m.attempts = append(m.attempts, a)
	m.collect()
}

// collect reads the replies that have arrived.
func (m *authorityMachine) collect() {
	for _, a := range m.attempts {
		if len(a.reply) > 0 {
			r := <-a.reply
			a.reply = nil
			if r.err == nil && r.reply.Outcome == Granted {
				a.stream = r.reply.Stream
			}
		}
		if len(a.settled) > 0 {
			a.durable = (<-a.settled).Durable
			a.settled = nil
		}
	}
}

// Dispatch lets a granted attempt run, fail or stay undispatched, and reports it.
func (m *authorityMachine) Dispatch(t *rapid.T) {
	a := m.pick(t, func(a *attemptState) bool { return a.stream != "" && a.settle == nil && !m.deadEntries[a.req.Entry] })
	if a == nil {
		m.Request(t) // no attempt is granted
		return
	}
	s := a.req.undispatched(a.stream)
	switch rapid.IntRange(0, 3).Draw(t, "course") {
	case 0, 1:
		s.Outcome = Completed
		s.Tokens = rapid.Int64Range(0, a.req.Bound).Draw(t, "tokens")
		a.ran = s.Tokens
		m.maxAnswer[a.req.Request] = max(m.maxAnswer[a.req.Request], s.Tokens)
		m.runsByRequest[a.req.Request]++
	case 2:
		s.Outcome = Failed
		s.UsageKnown = false
		s.Tokens = a.req.Bound
		a.ran = rapid.Int64Range(0, a.req.Bound).Draw(t, "tokens")
		m.runsByRequest[a.req.Request]++
	}
	m.ranByBudget[a.req.Budget] += a.ran
	a.settle = &s
	if rapid.IntRange(0, 4).Draw(t, "dies") == 0 {
		m.deadEntries[a.req.Entry] = true // the entry daemon crashed before it sent the settlement
		return
	}
	a.settled = m.cluster.settle(a.home, s)
	m.collect()
}

// entry draws a live entry daemon; a crashed one is replaced by a new one.
func (m *authorityMachine) entry(t *rapid.T) string {
	id := fmt.Sprintf("e%d", m.entriesStarted-1-rapid.IntRange(0, 2).Draw(t, "entry"))
	if m.deadEntries[id] {
		m.entriesStarted++
		id = fmt.Sprintf("e%d", m.entriesStarted-1)
	}
	return id
}

// Crash picks a granted attempt, lets it run, and ends its home and its entry daemon
// before the settlement. It then settles the attempts of all live entry daemons, so
// that the grants of the home can be recovered.
func (m *authorityMachine) Crash(t *rapid.T) {
	a := m.pick(t, func(a *attemptState) bool {
		return a.stream != "" && a.settle == nil && !m.deadEntries[a.req.Entry] &&
			budget.HolderOfGrant(budget.GrantOfStream(a.stream)) == a.home.holder
	})
	if a == nil {
		m.Dispatch(t) // no attempt runs
		return
	}
	holder := a.home.holder
	s := a.req.undispatched(a.stream)
	s.Outcome = Failed
	s.Tokens = a.req.Bound
	a.settle = &s
	a.ran = a.req.Bound
	m.ranByBudget[a.req.Budget] += a.ran
	m.runsByRequest[a.req.Request]++
	m.deadEntries[a.req.Entry] = true
	m.cluster.fence(a.home)
	m.cluster.restart(a.home)
	for _, other := range m.attempts {
		if other.settle == nil && other.stream != "" && !m.deadEntries[other.req.Entry] {
			s := other.req.undispatched(other.stream)
			other.settle = &s
		}
		if other.settle != nil && !other.durable && !m.deadEntries[other.req.Entry] {
			other.settled = m.cluster.settle(other.home, *other.settle)
		}
	}
	for _, d := range m.cluster.daemons {
		m.cluster.runUntilIdle(d)
	}
	m.collect()
	m.recoverHolder(holder)
}

// Spend reserves and settles through one home until a reservation is not granted.
func (m *authorityMachine) Spend(t *rapid.T) {
	d := m.daemon(t)
	n := rapid.IntRange(0, 1).Draw(t, "budget")
	for range 40 {
		req := ReserveRequest{
			Customer: "c", Budget: []string{"b", "d"}[n], Request: fmt.Sprintf("spend%d", len(m.attempts)),
			Fingerprint: fmt.Sprintf("spend%d", len(m.attempts)), Attempt: 1, Bound: 25, Target: "t0", Entry: m.entry(t),
		}
		a := &attemptState{home: d, req: req}
		a.reply = m.cluster.reserve(d, req)
		m.attempts = append(m.attempts, a)
		m.cluster.runUntilIdle(d)
		m.collect()
		if a.stream == "" {
			return
		}
		s := req.undispatched(a.stream)
		s.Outcome = Completed
		s.Tokens = req.Bound
		a.ran = s.Tokens
		a.settle = &s
		m.maxAnswer[req.Request] = s.Tokens
		m.ranByBudget[req.Budget] += a.ran
		a.settled = m.cluster.settle(d, s)
		m.collect()
		m.Check(t)
	}
}

// Recover returns the written-off tokens of a holder whose process has ended
// if no live entry daemon has open attempts on its grants.
func (m *authorityMachine) Recover(t *rapid.T) {
	if len(m.cluster.ended) == 0 {
		m.Crash(t) // no holder has ended
		return
	}
	if !m.recoverHolder(rapid.SampledFrom(m.cluster.ended).Draw(t, "holder")) {
		m.Resubmit(t) // a live entry daemon has open attempts
	}
}

// recoverHolder recovers the holder's grants and returns true, or returns false if
// a live entry daemon has an open attempt on them.
func (m *authorityMachine) recoverHolder(holder string) bool {
	ran := make(map[string]int64)
	for _, a := range m.attempts {
		if budget.HolderOfGrant(budget.GrantOfStream(a.stream)) != holder {
			continue
		}
		if !m.deadEntries[a.req.Entry] && !a.durable {
			return false
		}
		ran[a.stream] = a.ran
	}
	before := m.cluster.budget("b").Settled + m.cluster.budget("d").Settled
	m.cluster.recover(holder, func(stream string) int64 { return ran[stream] })
	if m.cluster.budget("b").Settled+m.cluster.budget("d").Settled < before {
		m.recoveries++
	}
	return true
}

// Resubmit sends a settlement again, to any home.
func (m *authorityMachine) Resubmit(t *rapid.T) {
	a := m.pick(t, func(a *attemptState) bool { return a.settle != nil && !a.durable && !m.deadEntries[a.req.Entry] })
	if a == nil {
		m.Dispatch(t) // all settlements are durable
		return
	}
	a.settled = m.cluster.settle(m.daemon(t), *a.settle)
	m.collect()
}

// Commit applies the next operation of a daemon and does not deliver the result.
func (m *authorityMachine) Commit(t *rapid.T) {
	m.cluster.commitNext(m.daemon(t))
}

// Deliver delivers the results of applied operations to a daemon.
func (m *authorityMachine) Deliver(t *rapid.T) {
	m.cluster.deliver(m.daemon(t))
	m.collect()
}

// Tick advances time and runs the timers of one daemon.
func (m *authorityMachine) Tick(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second, 90 * time.Second}).Draw(t, "by")
	m.cluster.tick(m.daemon(t), by)
	m.collect()
}

// FinishOperations ticks a daemon, applies its operations and delivers the results.
func (m *authorityMachine) FinishOperations(t *rapid.T) {
	d := m.daemon(t)
	for range 3 {
		m.cluster.tick(d, 50*time.Millisecond)
		for len(d.committer.queue) > 0 {
			m.cluster.commitNext(d)
			m.cluster.deliver(d)
		}
	}
	m.collect()
}

// TopUp raises a budget.
func (m *authorityMachine) TopUp(t *rapid.T) {
	id := rapid.SampledFrom([]string{"b", "d"}).Draw(t, "budget")
	tokens := rapid.Int64Range(1, 50).Draw(t, "tokens")
	m.limit[id] += tokens
	m.cluster.topUp(id, tokens)
}

// Fence fences a holder, which may be paused rather than crashed, and writes off its
// grants.
func (m *authorityMachine) Fence(t *rapid.T) {
	m.cluster.fence(m.daemon(t))
}

// Restart fences a daemon and gives it a new incarnation.
func (m *authorityMachine) Restart(t *rapid.T) {
	d := m.daemon(t)
	m.cluster.fence(d)
	m.cluster.restart(d)
	m.collect()
}

// Check compares the table with the oracle after each action.
func (m *authorityMachine) Check(t *rapid.T) {
	for id, limit := range m.limit {
		r := m.cluster.budget(id)
		assert.Assert(t, r.Settled+r.Granted <= limit, "budget %s: settled %d granted %d limit %d", id, r.Settled, r.Granted, limit)
		assert.Assert(t, r.Granted >= 0 && r.Settled >= 0)
		assert.Assert(t, m.ranByBudget[id] <= limit, "engines ran %d of %d tokens of %s", m.ranByBudget[id], limit, id)
	}
	for n := 0; n < m.nextRequest; n += 3 {
		id := fmt.Sprintf("r%d", n)
		assert.Assert(t, m.runsByRequest[id] <= 1, "non-idempotent %s ran %d times", id, m.runsByRequest[id])
	}
}

// completedOnlyByDeadEntries reports whether none of the attempts that completed a
// request belongs to a live entry daemon.
func (m *authorityMachine) completedOnlyByDeadEntries(request string) bool {
	for _, a := range m.attempts {
		if a.req.Request == request && a.settle != nil && a.settle.Outcome == Completed && !m.deadEntries[a.req.Entry] {
			return false
		}
	}
	return true
}

// finish settles all attempts and checks the bill. Late lines of one fenced grant
// change the same row, so that each round may write only one of them.
func (m *authorityMachine) finish(t *rapid.T) {
	for range 3 + len(m.attempts) {
		for _, d := range m.cluster.daemons {
			m.cluster.runUntilIdle(d)
		}
		m.collect()
		open := false
		for _, a := range m.attempts {
			if a.settle != nil && !a.durable && !m.deadEntries[a.req.Entry] {
				a.settled = m.cluster.settle(a.home, *a.settle)
				open = true
			}
		}
		if !open {
			break
		}
	}
	for _, d := range m.cluster.daemons {
		m.cluster.runUntilIdle(d)
	}
	m.collect()
	lines := m.cluster.lines("c")
	charged := make(map[string]int64)
	for _, a := range m.attempts {
		if a.settle == nil {
			continue
		}
		charged[a.req.Request] += a.settle.Tokens
		if m.deadEntries[a.req.Entry] {
			continue // covered by the write-off, unless its home received the settlement
		}
		assert.Assert(t, a.durable, "settlement of %s did not become durable", a.stream)
		if a.settle.Outcome != NotDispatched {
			_, ok := lines[a.req.Request]
			assert.Assert(t, ok, "%s ran and has no bill line", a.req.Request)
		}
	}
	for request, line := range lines {
		assert.Assert(t, line.Total() <= charged[request], "%s was charged %d tokens, its attempts reported %d", request, line.Total(), charged[request])
	}
	for request, answer := range m.maxAnswer {
		line, ok := lines[request]
		if m.completedOnlyByDeadEntries(request) {
			continue
		}
		assert.Assert(t, ok, "%s completed and has no bill line", request)
		assert.Assert(t, line.Completed, "%s completed, but its bill line is not marked as completed", request)
		assert.Assert(t, line.Tokens <= answer, "%s was billed %d tokens for an answer of at most %d", request, line.Tokens, answer)
	}
}

// Guards against overspending, duplicate bills, lost bill lines and second runs of
// non-idempotent requests under any order of failures.
func TestAuthorityAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAuthorityMachine(t)
		for range machineRounds {
			t.Repeat(rapid.StateMachineActions(m))
		}
		m.finish(t)
	})
}

// Guards against a ledger that authorises more tokens than its grants hold.
func TestLedgerNeverExceedsGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := budget.NewLedger()
		now := time.Unix(0, 0)
		var granted, charged, reserved int64
		open := make(map[string]int64)
		for i := range 40 {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				amount := rapid.Int64Range(1, 100).Draw(t, "amount")
				l.Open(now, budget.GrantRecord{ID: budget.GrantID("h", uint64(i)), Holder: "h", Budget: "b", Amount: amount, Streams: 100})
				granted += amount
			case 1:
				bound := rapid.Int64Range(1, 100).Draw(t, "bound")
				if r, ok := l.Reserve(now, "b", bound); ok {
					open[r.Stream] = bound
					reserved += bound
				}
			default:
				for stream, bound := range open {
					n, err := l.Settle(now, stream, rapid.Int64Range(0, 200).Draw(t, "tokens"))
					assert.NilError(t, err)
					charged += n
					reserved -= bound
					delete(open, stream)
					break
				}
			}
			assert.Assert(t, charged+reserved <= granted)
			assert.Equal(t, l.Available("b"), granted-charged-reserved)
		}
	})
}
