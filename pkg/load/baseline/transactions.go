package baseline

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/retry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// submitTimeout bounds the resubmission of a transaction whose outcome is unknown.
// It exceeds the store outage of 60 s in the workload store_down.
const submitTimeout = 3 * time.Minute

// transactions authorises spending with one transaction on the budget row for
// each reservation and each settlement.
type transactions struct {
	table       storage.Table
	incarnation func() string
	nextGrant   atomic.Uint64

	mu          sync.Mutex
	rows        map[string]*budgetRow
	settlements map[string]*settlement // by stream id
}

// budgetRow is the last known state of a budget row. Its lock keeps the
// transactions of one daemon from conflicting with each other.
type budgetRow struct {
	sync.Mutex
	version uint64 // 0: the row has to be read
	record  budget.Record
}

// settlement is a settlement that is in progress or done.
type settlement struct {
	done    chan struct{}
	durable bool // whether the settlement is stored; valid after done is closed
}

func newTransactions(table storage.Table, incarnation func() string) *transactions {
	return &transactions{table: table, incarnation: incarnation, rows: make(map[string]*budgetRow), settlements: make(map[string]*settlement)}
}

// For implements gateway.Authorities.
func (t *transactions) For(_, _ string) home.Authority { return t }

// Reserve implements home.Authority. It debits the bound from the budget row.
func (t *transactions) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	type result struct {
		reply home.ReserveReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		// The debit continues after the caller gives up: its outcome must be known
		// before the tokens are returned.
		reply, err := t.reserve(context.WithoutCancel(ctx), ctx, req)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		go func() {
			if r := <-done; r.err == nil && r.reply.Outcome == home.Granted {
				t.settleOnce(home.SettleRequest{Budget: req.Budget, Stream: r.reply.Stream, Outcome: home.NotDispatched, Bound: req.Bound})
			}
		}()
		return home.ReserveReply{}, fmt.Errorf("reserve: %w", ctx.Err())
	}
}

func (t *transactions) reserve(ctx, callerCtx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	row := t.row(req.Budget)
	row.Lock()
	defer row.Unlock()
	if callerCtx.Err() != nil {
		return home.ReserveReply{}, callerCtx.Err()
	}
	fresh := false
	for {
		if row.version == 0 {
			if err := t.read(callerCtx, req.Budget, row); err != nil {
				return home.ReserveReply{}, err
			}
			fresh = true
		}
		if row.record.Free() < req.Bound {
			if !fresh { // a top-up or a settlement by another daemon may have freed tokens
				row.version = 0
				continue
			}
			row.version = 0
			return refused(req), nil
		}
		next := row.record
		next.Granted += req.Bound
		ok, err := t.write(ctx, row, next, nil)
		if err != nil {
			return home.ReserveReply{}, err
		}
		if ok {
			grant := budget.GrantID(t.incarnation(), t.nextGrant.Add(1))
			return home.ReserveReply{Outcome: home.Granted, Grant: grant, Stream: budget.StreamID(grant, 0)}, nil
		}
		fresh = true
	}
}

func refused(req home.ReserveRequest) home.ReserveReply {
	e := verdict.New(verdict.NotRun, verdict.BudgetExhausted, "budget %q has no room for %d tokens", req.Budget, req.Bound)
	return home.ReserveReply{Outcome: home.Refused, Refusal: e.WithRetryAfter(time.Second)}
}

// Settle implements home.Authority. It replaces the reserved bound with the
// tokens used and writes the bill line in the same transaction.
func (t *transactions) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	if req.Stream == "" {
		return home.SettleReply{Durable: true}, nil
	}
	s := t.settleOnce(req)
	select {
	case <-s.done:
		return home.SettleReply{Durable: s.durable}, nil
	case <-ctx.Done():
		return home.SettleReply{}, nil
	}
}

// settleOnce starts the settlement of a stream unless it was started before.
func (t *transactions) settleOnce(req home.SettleRequest) *settlement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.settlements[req.Stream]; ok {
		return s
	}
	s := &settlement{done: make(chan struct{})}
	t.settlements[req.Stream] = s
	go func() {
		defer close(s.done)
		s.durable = t.settle(context.Background(), req) == nil
	}()
	return s
}

func (t *transactions) settle(ctx context.Context, req home.SettleRequest) error {
	row := t.row(req.Budget)
	row.Lock()
	defer row.Unlock()
	tokens := min(req.Tokens, req.Bound)
	if !req.UsageKnown {
		tokens = req.Bound
	}
	if req.Outcome == home.NotDispatched {
		tokens = 0
	}
	var delay retry.Backoff
	for {
		if row.version == 0 {
			if err := t.read(ctx, req.Budget, row); err != nil {
				time.Sleep(delay.Next())
				continue
			}
		}
		next := row.record
		next.Granted -= req.Bound
		next.Settled += tokens
		ok, err := t.write(ctx, row, next, billLine(req, tokens))
		if err != nil || ok {
			return err
		}
	}
}

// billLine returns the bill line of a settlement, nil if the request was not
// dispatched. The key contains the stream id, so that attempts of one request do
// not conflict.
func billLine(req home.SettleRequest, tokens int64) *storage.Put {
	if req.Outcome == home.NotDispatched {
		return nil
	}
	line := budget.Line{
		Customer: req.Customer, Budget: req.Budget, Request: req.Request, Streams: []string{req.Stream}, Target: req.Target,
		Tokens: tokens, Attempts: 1, Completed: req.Outcome == home.Completed, Estimated: !req.UsageKnown, BilledAt: time.Now().UnixMilli(),
	}
	return &storage.Put{Key: budget.LineKey(req.Customer, req.Request+"."+req.Stream), Value: encode(line)}
}

func (t *transactions) row(id string) *budgetRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok {
		row = &budgetRow{}
		t.rows[id] = row
	}
	return row
}

func (t *transactions) read(ctx context.Context, id string, row *budgetRow) error {
	rows, err := t.table.Get(ctx, budget.BudgetKey(id))
	if err != nil {
		return fmt.Errorf("read budget: %w", err)
	}
	return row.load(rows[0])
}

func (b *budgetRow) load(row storage.Row) error {
	b.version = 0
	b.record = budget.Record{}
	if row.Version == 0 {
		return fmt.Errorf("row %s does not exist", row.Key)
	}
	if err := json.Unmarshal(row.Value, &b.record); err != nil {
		return fmt.Errorf("decode %s: %w", row.Key, err)
	}
	b.version = row.Version
	return nil
}

// write replaces the budget row. It returns false after a conflict and then loads
// the current row where the reply contains it. A transaction with an unknown
// outcome is resubmitted under the same id.
func (t *transactions) write(ctx context.Context, row *budgetRow, next budget.Record, line *storage.Put) (bool, error) {
	key := budget.BudgetKey(next.ID)
	txn := storage.Txn{
		ID:         rand.Text(),
		Conditions: []storage.Condition{{Key: key, Version: row.version}},
		Puts:       []storage.Put{{Key: key, Value: encode(next)}},
	}
	if line != nil {
		txn.Puts = append(txn.Puts, *line)
	}
	outcome, err := t.submit(ctx, txn)
	if err != nil {
		row.version = 0
		return false, err
	}
	if outcome.Committed {
		row.version, row.record = outcome.Revision, next
		return true, nil
	}
	row.version = 0
	if len(outcome.Conflicts) == 1 {
		return false, row.load(outcome.Conflicts[0])
	}
	return false, nil
}

// submit resubmits a transaction until its outcome is known or submitTimeout has
// passed. The delay between attempts grows: with a constant 20 ms, the retries of
// nine daemons exhausted the machine's free ports during an outage of 60 s.
func (t *transactions) submit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	var delay retry.Backoff
	deadline := time.Now().Add(submitTimeout)
	for {
		outcome, err := t.table.Commit(ctx, txn)
		if err == nil || time.Now().After(deadline) {
			return outcome, err
		}
		time.Sleep(delay.Next())
	}
}

func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("baseline: encode row: " + err.Error())
	}
	return raw
}
