package slopes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends streamed requests to the daemons of a fleet in round-robin order.
type load struct {
	fleet      *fleet
	client     *http.Client
	onlyDaemon *daemonProcess // daemon that receives all requests; nil: all daemons in round-robin order
	sent       atomic.Int64   // number of requests sent
	latencies  streamLatencies
}

// maxIdleConnections is the limit of idle connections, in all and per daemon.
const maxIdleConnections = 1024

func newLoad(f *fleet) *load {
	return &load{fleet: f, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections,
	}}}
}

func (l *load) close() { l.client.CloseIdleConnections() }

// errIncompleteStream means that a stream ended before its last event.
var errIncompleteStream = errors.New("stream without its last event")

// budgetIndex returns the index of the budget for the n-th request. A single daemon
// gets the budgets in round-robin order. With several daemons the budget is random, so
// that every daemon uses every budget.
func (l *load) budgetIndex(n int64) int {
	budgets := max(1, l.fleet.spec.budgets)
	if len(l.fleet.daemons) == 1 {
		return int(n) % budgets
	}
	return rand.IntN(budgets)
}

// send sends one request and reads its complete answer.
func (l *load) send(ctx context.Context, tokens int) error {
	n := l.sent.Add(1)
	daemon := l.onlyDaemon
	if daemon == nil {
		daemon = l.fleet.daemons[n%int64(len(l.fleet.daemons))]
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Menu of day %d"}]}`, targetModel, tokens, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.callerAddr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+l.fleet.operator.apiKey)
	req.Header.Set("Idempotency-Key", fmt.Sprintf("slopes-%d", n))
	req.Header.Set("X-Peppertrail-Budget", budgetName(l.budgetIndex(n)))
	begin := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal, _ := io.ReadAll(resp.Body) // if the text cannot be read completely, the error still contains the status
		return fmt.Errorf("status %d: %s", resp.StatusCode, refusal)
	}
	complete, err := l.latencies.read(resp.Body, begin)
	if err == nil && !complete {
		err = errIncompleteStream
	}
	return err
}

// sendAll sends n requests from concurrent workers and returns the number of
// failures and the first error.
func (l *load) sendAll(ctx context.Context, n, workers, tokens int) (failed int64, first error) {
	var left, failures atomic.Int64
	left.Store(int64(n))
	var once sync.Once
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				if err := l.send(ctx, tokens); err != nil {
					failures.Add(1)
					once.Do(func() { first = err })
				}
			}
		})
	}
	group.Wait()
	return failures.Load(), first
}

// sendAtRate sends rate requests per second for a duration and returns the numbers
// of requests sent and failed.
func (l *load) sendAtRate(ctx context.Context, rate float64, d time.Duration, tokens int) (sent, failed int64) {
	var failures atomic.Int64
	var group sync.WaitGroup
	defer func() { failed = failures.Load() }()
	defer group.Wait()
	begin := time.Now()
	for ctx.Err() == nil {
		elapsed := time.Since(begin)
		if elapsed >= d {
			break
		}
		for due := int64(rate * elapsed.Seconds()); sent < due; sent++ {
			group.Go(func() {
				if l.send(ctx, tokens) != nil {
					failures.Add(1)
				}
			})
		}
		_ = sleep(ctx, time.Millisecond)
	}
	return sent, 0
}
