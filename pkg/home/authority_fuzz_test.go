package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// machineRounds lengthens a run beyond rapid's average of 30 steps; shorter
// runs rarely spent a budget that had been written off.
const machineRounds = 5

// attemptState is an attempt as the entry daemon and the engines know it.
type attemptState struct {
	home  *daemon
	req   ReserveRequest
	reply chan reserveResult // nil once answered

	stream  string
	ran     int64 // tokens in the engines' journal
	settle  *SettleRequest
	settled chan SettleReply // nil unless a settlement is under way
	durable bool
}

// authorityMachine drives several homes over one table with delayed and lost
// replies, paused holders, write-offs and top-ups. The oracle is the engines'
// journal: what ran, for whom.
type authorityMachine struct {
	w              *testCluster
	attempts       []*attemptState
	limit          map[string]int64
	ranByBudget    map[string]int64 // tokens by budget
	runsByRequest  map[string]int   // runs by request
	maxAnswer      map[string]int64 // largest answer by request
	nextRequest    int
	deadEntries    map[string]bool // entry daemons
	entriesStarted int             // of entry daemons
	recoveries     int             // recoveries that returned tokens
}

func newAuthorityMachine(t *rapid.T) *authorityMachine {
	m := &authorityMachine{
		w:              newTestCluster(3),
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
		m.w.createBudget(id, limit)
	}
	return m
}

func (m *authorityMachine) daemon(t *rapid.T) *daemon {
	return rapid.SampledFrom(m.w.daemons).Draw(t, "daemon")
}

// pick draws an attempt that satisfies keep, nil if there is none.
func (m *authorityMachine) pick(t *rapid.T, keep func(*attemptState) bool) *attemptState {
	var some []*attemptState
	for _, a := range m.attempts {
		if keep(a) {
			some = append(some, a)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(t, "attempt")
}

// Request sends a request, half of them a repetition of an earlier one.
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
	a.reply = m.w.reserve(d, req)
	m.attempts = append(m.attempts, a)
	m.collect()
}

// collect reads the replies that have come and runs what was granted.
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
		m.Request(t) // nothing is granted
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
		m.deadEntries[a.req.Entry] = true // before it could settle
		return
	}
	a.settled = m.w.settle(a.home, s)
	m.collect()
}

// entry draws a live entry daemon; the place of a dead one is taken by another.
func (m *authorityMachine) entry(t *rapid.T) string {
	id := fmt.Sprintf("e%d", m.entriesStarted-1-rapid.IntRange(0, 2).Draw(t, "entry"))
	if m.deadEntries[id] {
		m.entriesStarted++
		id = fmt.Sprintf("e%d", m.entriesStarted-1)
	}
	return id
}

// Crash ends a home together with the entry daemon of one of its attempts,
// which ran, and settles everything else, so that its grants can be recovered.
func (m *authorityMachine) Crash(t *rapid.T) {
	a := m.pick(t, func(a *attemptState) bool {
		return a.stream != "" && a.settle == nil && !m.deadEntries[a.req.Entry] &&
			budget.HolderOfGrant(budget.GrantOfStream(a.stream)) == a.home.holder
	})
	if a == nil {
		m.Dispatch(t) // nothing runs
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
	m.w.fence(a.home)
	m.w.restart(a.home)
	for _, other := range m.attempts {
		if other.settle == nil && other.stream != "" && !m.deadEntries[other.req.Entry] {
			s := other.req.undispatched(other.stream)
			other.settle = &s
		}
		if other.settle != nil && !other.durable && !m.deadEntries[other.req.Entry] {
			other.settled = m.w.settle(other.home, *other.settle)
		}
	}
	for _, d := range m.w.daemons {
		m.w.runUntilIdle(d)
	}
	m.collect()
	m.recoverHolder(holder)
}

// Spend uses up a budget through one home.
func (m *authorityMachine) Spend(t *rapid.T) {
	d := m.daemon(t)
	n := rapid.IntRange(0, 1).Draw(t, "budget")
	for range 40 {
		req := ReserveRequest{
			Customer: "c", Budget: []string{"b", "d"}[n], Request: fmt.Sprintf("spend%d", len(m.attempts)),
			Fingerprint: fmt.Sprintf("spend%d", len(m.attempts)), Attempt: 1, Bound: 25, Target: "t0", Entry: m.entry(t),
		}
		a := &attemptState{home: d, req: req}
		a.reply = m.w.reserve(d, req)
		m.attempts = append(m.attempts, a)
		m.w.runUntilIdle(d)
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
		a.settled = m.w.settle(d, s)
		m.collect()
		m.Check(t)
	}
}

// Recover returns the written-off tokens of a holder whose process has ended
// if no live entry daemon has open attempts on its grants.
func (m *authorityMachine) Recover(t *rapid.T) {
	if len(m.w.ended) == 0 {
		m.Crash(t) // no holder has ended
		return
	}
	if !m.recoverHolder(rapid.SampledFrom(m.w.ended).Draw(t, "holder")) {
		m.Resubmit(t) // its attempts are open
	}
}

// recoverHolder reports whether the holder's grants could be recovered: no live
// entry daemon has an open attempt there.
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
	before := m.w.budget("b").Settled + m.w.budget("d").Settled
	m.w.recover(holder, func(stream string) int64 { return ran[stream] })
	if m.w.budget("b").Settled+m.w.budget("d").Settled < before {
		m.recoveries++
	}
	return true
}

// Resubmit sends a settlement again, to any home.
func (m *authorityMachine) Resubmit(t *rapid.T) {
	a := m.pick(t, func(a *attemptState) bool { return a.settle != nil && !a.durable && !m.deadEntries[a.req.Entry] })
	if a == nil {
		m.Dispatch(t) // all are durable
		return
	}
	a.settled = m.w.settle(m.daemon(t), *a.settle)
	m.collect()
}

// Commit applies the next operation of a daemon without telling it.
func (m *authorityMachine) Commit(t *rapid.T) {
	m.w.commitNext(m.daemon(t))
}

// Deliver hands a daemon the outcomes of its operations.
func (m *authorityMachine) Deliver(t *rapid.T) {
	m.w.deliver(m.daemon(t))
	m.collect()
}

// Tick lets time pass.
func (m *authorityMachine) Tick(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second, 90 * time.Second}).Draw(t, "by")
	m.w.tick(m.daemon(t), by)
	m.collect()
}

// Drive lets a daemon finish what it has under way.
func (m *authorityMachine) FinishOperations(t *rapid.T) {
	d := m.daemon(t)
	for range 3 {
		m.w.tick(d, 50*time.Millisecond)
		for len(d.committer.queue) > 0 {
			m.w.commitNext(d)
			m.w.deliver(d)
		}
	}
	m.collect()
}

// TopUp raises a budget.
func (m *authorityMachine) TopUp(t *rapid.T) {
	id := rapid.SampledFrom([]string{"b", "d"}).Draw(t, "budget")
	tokens := rapid.Int64Range(1, 50).Draw(t, "tokens")
	m.limit[id] += tokens
	m.w.topUp(id, tokens)
}

// Fence writes off a holder that may be paused rather than dead.
func (m *authorityMachine) Fence(t *rapid.T) {
	m.w.fence(m.daemon(t))
}

// Wake gives a fenced daemon a new incarnation.
func (m *authorityMachine) Restart(t *rapid.T) {
	d := m.daemon(t)
	m.w.fence(d)
	m.w.restart(d)
	m.collect()
}

// Check holds the oracle against the table.
func (m *authorityMachine) Check(t *rapid.T) {
	for id, limit := range m.limit {
		r := m.w.budget(id)
		assert.Assert(t, r.Settled+r.Granted <= limit, "budget %s: settled %d granted %d limit %d", id, r.Settled, r.Granted, limit)
		assert.Assert(t, r.Granted >= 0 && r.Settled >= 0)
		assert.Assert(t, m.ranByBudget[id] <= limit, "engines ran %d of %d tokens of %s", m.ranByBudget[id], limit, id)
	}
	for n := 0; n < m.nextRequest; n += 3 {
		id := fmt.Sprintf("r%d", n)
		assert.Assert(t, m.runsByRequest[id] <= 1, "non-idempotent %s ran %d times", id, m.runsByRequest[id])
	}
}

// onlyByDead reports whether only entry daemons that died completed a request.
func (m *authorityMachine) completedOnlyByDead(request string) bool {
	for _, a := range m.attempts {
		if a.req.Request == request && a.settle != nil && a.settle.Outcome == Completed && !m.deadEntries[a.req.Entry] {
			return false
		}
	}
	return true
}

// finish lets everything settle and checks the bill. Late lines of one fenced
// grant change the same row, so that each round may take only one of them.
func (m *authorityMachine) finish(t *rapid.T) {
	for range 3 + len(m.attempts) {
		for _, d := range m.w.daemons {
			m.w.runUntilIdle(d)
		}
		m.collect()
		open := false
		for _, a := range m.attempts {
			if a.settle != nil && !a.durable && !m.deadEntries[a.req.Entry] {
				a.settled = m.w.settle(a.home, *a.settle)
				open = true
			}
		}
		if !open {
			break
		}
	}
	for _, d := range m.w.daemons {
		m.w.runUntilIdle(d)
	}
	m.collect()
	lines := m.w.lines("c")
	charged := make(map[string]int64)
	for _, a := range m.attempts {
		if a.settle == nil {
			continue
		}
		charged[a.req.Request] += a.settle.Tokens
		if m.deadEntries[a.req.Entry] {
			continue // the written-off part covers it, unless its home has the settlement
		}
		assert.Assert(t, a.durable, "settlement of %s never durable", a.stream)
		if a.settle.Outcome != NotDispatched {
			_, ok := lines[a.req.Request]
			assert.Assert(t, ok, "%s ran and has no line", a.req.Request)
		}
	}
	for request, line := range lines {
		assert.Assert(t, line.Total() <= charged[request], "%s charged %d, its attempts reported %d", request, line.Total(), charged[request])
	}
	for request, answer := range m.maxAnswer {
		line, ok := lines[request]
		if m.completedOnlyByDead(request) {
			continue
		}
		assert.Assert(t, ok, "%s completed and has no line", request)
		assert.Assert(t, line.Completed, "%s completed, its line does not say so", request)
		assert.Assert(t, line.Tokens <= answer, "%s billed %d for an answer of at most %d", request, line.Tokens, answer)
	}
}

// Guards against overspend, double bills, lost lines and second runs under
// any order of failures.
func TestAuthorityAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAuthorityMachine(t)
		for range machineRounds {
			t.Repeat(rapid.StateMachineActions(m))
		}
		m.finish(t)
	})
}

// Guards against a ledger that authorises more than its grants hold.
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
