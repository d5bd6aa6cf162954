package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/gateway"
	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/load/caller"
	"github.com/peppertrail/peppertrail/pkg/load/fleet"
	"github.com/peppertrail/peppertrail/pkg/load/oracle"
	"github.com/peppertrail/peppertrail/pkg/load/schedule"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/platform"
)

// Run measures the selected workloads with the selected policies. The policies
// of one workload run one after the other on the same schedule.
func Run(ctx context.Context, o Options) error {
	o = o.withDefaults()
	for _, name := range o.Workloads {
		w, err := findWorkload(name, o.Duration)
		if err != nil {
			return err
		}
		for _, p := range o.Policies {
			result, err := measure(ctx, o, w, p)
			if err != nil {
				return fmt.Errorf("workload %s, policy %s: %w", name, p, err)
			}
			fmt.Fprintln(o.Out, result)
		}
	}
	return nil
}

// run is one workload with one policy.
type run struct {
	options  Options
	workload workload
	policy   baseline.Policy
	plan     schedule.Plan
	dir      string // directory of the process logs
	start    time.Time
	fleet    *fleet.Fleet
	caller   *caller.Caller
	budgets  []int64 // initial tokens of each customer's budget
	oracle   *oracle.Oracle
	down     []atomic.Bool // whether the load balancer regards each daemon as down

	mu                sync.Mutex
	attempts          []attempt
	directFirstTokens []time.Duration // time to the first token of requests sent directly to engines
}

// attempt is one attempt to send a request, with its result.
type attempt struct {
	request schedule.Request
	bound   int64 // tokens that the request reserves
	result  caller.Result
}

func measure(ctx context.Context, o Options, w workload, p baseline.Policy) (Result, error) {
	r := &run{options: o, workload: w, policy: p, caller: caller.New(), oracle: oracle.New(), down: make([]atomic.Bool, o.Daemons)}
	defer r.caller.Close()
	r.plan = schedule.Plan{Seed: o.Seed, Rate: o.Rate, Duration: w.duration, Daemons: o.Daemons, OnlyCustomer: w.onlyCustomer}
	dir, err := logDir(o, w, p)
	if err != nil {
		return Result{}, err
	}
	if o.Dir == "" {
		defer os.RemoveAll(dir)
	}
	r.dir = dir
	for c := range schedule.Customers {
		r.budgets = append(r.budgets, r.expectedTokens(c, w.budgetPeriod))
	}
	r.fleet, err = fleet.Start(ctx, fleet.Options{
		Policy: p, Daemons: o.Daemons, Engines: o.Engines, TokenMS: engineTokenMS, Budgets: r.budgets, PartitionableDaemons: w.partitionable, LatencyMS: platformLatencyMS, Dir: dir,
	})
	if err != nil {
		return Result{}, err
	}
	defer r.fleet.Close()
	for c, tokens := range r.budgets {
		r.oracle.TopUp(fleet.BudgetID(c), time.Now(), tokens)
	}
	return r.measure(ctx)
}

func logDir(o Options, w workload, p baseline.Policy) (string, error) {
	if o.Dir == "" {
		return os.MkdirTemp("", "pepperload")
	}
	dir := fmt.Sprintf("%s/%s-%s", o.Dir, w.name, p)
	return dir, os.MkdirAll(dir, 0o700)
}

// expectedTokens estimates the tokens that a customer uses in a period.
func (r *run) expectedTokens(customer int, period time.Duration) int64 {
	return int64(r.plan.Rate*r.plan.Share(customer)*period.Seconds()*schedule.MeanRequestTokens) + 1
}

func (r *run) measure(ctx context.Context) (Result, error) {
	before, err := r.fleet.Stats(ctx)
	if err != nil {
		return Result{}, err
	}
	if err := r.load(ctx); err != nil {
		return Result{}, err
	}
	if err := pause(ctx, quietPeriod); err != nil {
		return Result{}, err
	}
	after, err := r.fleet.Stats(ctx)
	if err != nil {
		return Result{}, err
	}
	added := r.fleet.FirstTokenAdded(ctx)
	if err := pause(ctx, r.workload.evaluationDelay-quietPeriod); err != nil {
		return Result{}, err
	}
	if err := r.fleet.StopDaemons(); err != nil {
		r.logf("a daemon did not stop cleanly, the evaluation continues: %v", err)
	}
	journal, err := r.fleet.Journal(ctx)
	if err != nil {
		return Result{}, err
	}
	debited, err := r.fleet.Debited(ctx)
	if err != nil {
		return Result{}, err
	}
	return r.evaluate(observations{before: before, after: after, added: added, journal: journal, debited: debited}), nil
}

// load starts the events, sends the planned requests and waits until all requests have
// ended.
func (r *run) load(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	r.start = start
	r.startEvents(ctx, start, cancel)
	var wait sync.WaitGroup
	wait.Go(func() { r.sendDirect(ctx, start) })
	for _, request := range r.plan.Requests() {
		if err := pause(ctx, time.Until(start.Add(request.At))); err != nil {
			break
		}
		wait.Go(func() { r.send(ctx, request) })
	}
	wait.Wait()
	return context.Cause(ctx)
}

func (r *run) startEvents(ctx context.Context, start time.Time, fail context.CancelCauseFunc) {
	for _, e := range r.workload.events {
		go func() {
			if pause(ctx, time.Until(start.Add(e.at))) != nil {
				return
			}
			r.logf("%v after the start of the load: %s", e.at, e.name)
			if err := e.do(ctx, r); err != nil {
				fail(fmt.Errorf("event %q: %w", e.name, err))
			}
		}()
	}
}

const (
	// callerAttempts is the number of attempts for a request whose connection breaks.
	callerAttempts = 4
	// callerRetryDelay is the delay between the attempts for one request.
	callerRetryDelay = 200 * time.Millisecond
	// requestTimeout ends a request that gets no answer, so that the run can end.
	requestTimeout = 20 * time.Second
)

// send sends one request. After a broken connection it repeats the request at the
// next daemon with the same idempotency key. A refusal is not retried.
func (r *run) send(ctx context.Context, request schedule.Request) {
	body := caller.Body(request.Prompt, request.AnswerTokens)
	bound, err := gateway.TokenBound(body)
	if err != nil {
		panic("bench: token bound of planned request body: " + err.Error())
	}
	header := http.Header{
		"Authorization":   {"Bearer " + r.fleet.APIKey(request.Customer)},
		"Content-Type":    {"application/json"},
		"Idempotency-Key": {request.IdempotencyKey},
	}
	for tried := range callerAttempts {
		limited, cancel := context.WithTimeout(ctx, requestTimeout)
		result := r.caller.Send(limited, r.fleet.CallerURL(r.pickDaemon(request.Daemon+tried)), header.Clone(), body)
		cancel()
		r.mu.Lock()
		r.attempts = append(r.attempts, attempt{request, bound, result})
		r.mu.Unlock()
		if result.Outcome != caller.Broken || pause(ctx, callerRetryDelay) != nil {
			return
		}
	}
}

// pickDaemon returns the daemon to which the load balancer sends a request: daemon
// i, or the next one that is not down.
func (r *run) pickDaemon(i int) int {
	i %= len(r.down)
	for range r.down {
		if !r.down[i].Load() {
			return i
		}
		i = (i + 1) % len(r.down)
	}
	return i
}

// sendDirect sends requests directly to the engines until the load ends.
func (r *run) sendDirect(ctx context.Context, start time.Time) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; time.Since(start) < r.workload.duration; n++ {
		if pause(ctx, time.Second/directRate) != nil {
			return
		}
		wait.Go(func() {
			body := caller.Body(fmt.Sprintf("direct %d: %0100d", n, n), schedule.MeanAnswerTokens)
			result := r.caller.Send(ctx, r.fleet.EngineURL(n%r.options.Engines), http.Header{"X-Stream-Id": {fmt.Sprintf("direct.%d", n)}}, body)
			if result.Outcome == caller.Completed {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.directFirstTokens = append(r.directFirstTokens, result.FirstToken)
			}
		})
	}
}

// balancerDetectionDelay is the time after which the load balancer notices that a
// daemon went down or came back.
const balancerDetectionDelay = time.Second

func (r *run) kill(i int) {
	r.fleet.Kill(i)
	time.AfterFunc(balancerDetectionDelay, func() { r.down[i].Store(true) })
}

func (r *run) restart(i int) error {
	if err := r.fleet.Restart(i); err != nil {
		return err
	}
	time.AfterFunc(balancerDetectionDelay, func() { r.down[i].Store(false) })
	return nil
}

func (r *run) topUpAll(ctx context.Context, period time.Duration) error {
	for c := range r.budgets {
		tokens := r.expectedTokens(c, period)
		if err := r.fleet.TopUp(ctx, c, "second", tokens); err != nil {
			return err
		}
		r.mu.Lock()
		r.oracle.TopUp(fleet.BudgetID(c), time.Now(), tokens)
		r.mu.Unlock()
	}
	return nil
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.options.Log, "%s %s: %s\n", r.workload.name, r.policy, fmt.Sprintf(format, args...))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// observations are the values read from the fleet for one run.
type observations struct {
	before  platform.Stats  // before the load
	after   platform.Stats  // after the load
	added   fleet.Histogram // latency that the daemons added to first tokens
	journal []engine.Record
	debited int64 // sum of granted and settled tokens over all budgets
}
