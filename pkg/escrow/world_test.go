package escrow

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	accounts = "accounts"
	usages   = "usages"
)

var epochOfTests = time.Now()

// world is a store with hosts that spend from it.
type world struct {
	t     *testing.T
	store *rowstore.Store
	hosts int
	mu    sync.Mutex // guards nodes
	nodes []*node
	// told makes hosts tell each other of a lack at once.
	told bool
	// brokers lets hosts change accounts by way of each other.
	brokers bool
	// lossPercent of the asks to brokers, and of their answers, are lost.
	lossPercent atomic.Int32
	// skipped is how far the clocks of store and hosts have jumped, in ns.
	skipped atomic.Int64
}

// node is one process.
type node struct {
	*Keeper
	rows   *rowstore.Client
	cancel context.CancelFunc
}

func newWorld(t *testing.T, hosts int) *world {
	w := &world{t: t, hosts: hosts}
	w.store = rowstore.New(w.clock)
	return w
}

// clock is the steady clock of the store and of all hosts.
func (w *world) clock() time.Duration {
	return time.Since(epochOfTests) + time.Duration(w.skipped.Load())
}

// skip lets time pass at once.
func (w *world) skip(d time.Duration) { w.skipped.Add(int64(d)) }

// closeSilent makes a host take back the shares of another one that is silent.
func (w *world) closeSilent(n *node, host string) {
	w.t.Helper()
	reports, err := n.readReports(w.t.Context(), host)
	assert.NilError(w.t, err)
	n.takeSilent(reports)
}

// start runs a process and waits until it has loaded its budgets.
func (w *world) start(host, incarnation string, budgets map[string]int64) *node {
	w.t.Helper()
	n := w.launch(host, incarnation, budgets)
	w.eventually("budgets of "+host+" loaded", n.Loaded)
	return n
}

func newDiscardLog() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

// launch runs a process.
func (w *world) launch(host, incarnation string, budgets map[string]int64) *node {
	ctx, cancel := context.WithCancel(w.t.Context())
	n := &node{rows: w.store.Client(), cancel: cancel}
	o := Options{
		Rows: n.rows, AccountTable: accounts, UsageTable: usages, Host: host, Incarnation: incarnation, Addr: host,
		Hosts:    func() int { return w.hosts },
		Clock:    w.clock,
		Announce: func(customer string) { w.tell(host, customer) },
		Log:      newDiscardLog(),
	}
	if w.brokers {
		o.Ask = w.ask
	}
	n.Keeper = NewKeeper(ctx, o)
	n.SetBudgets(budgets)
	n.Start()
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n
}

// ask carries an ask to the host at an address.
func (w *world) ask(ctx context.Context, addr string, ask ShareAsk) (ShareAnswer, error) {
	w.mu.Lock()
	var to *node
	for _, n := range w.nodes {
		if n.options.Host == addr {
			to = n // the last process of the host
		}
	}
	w.mu.Unlock()
	if to == nil || to.ctx.Err() != nil || w.lost() {
		return ShareAnswer{}, storage.ErrUnavailable
	}
	answer, err := to.ChangeShare(ctx, ask)
	if w.lost() || ctx.Err() != nil {
		return ShareAnswer{}, storage.ErrUnavailable
	}
	return answer, err
}

func (w *world) lost() bool { return rand.Int32N(100) < w.lossPercent.Load() }

// tell passes a lack on to the other hosts.
func (w *world) tell(host, customer string) {
	if !w.told {
		return
	}
	for _, n := range w.nodes {
		if n.options.Host != host {
			go n.HeardLack(customer)
		}
	}
}

func (w *world) eventually(what string, done func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// account returns the account row of a customer.
func (w *world) account(customer string) Account {
	w.t.Helper()
	row := w.store.Get(storage.RowKey{Table: accounts, Part: customer, Key: accountKey})
	a, err := decodeAccount(row.Value)
	assert.NilError(w.t, err)
	return a
}

// spend reserves and settles tokens, and returns what was spent.
func (n *node) spend(t *testing.T, customer string, tokens int64) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := n.Reserve(ctx, customer, tokens)
	if err != nil {
		return 0
	}
	r.Settle(tokens)
	return tokens
}

func incarnation(n int) string { return fmt.Sprintf("process-%d", n) }
