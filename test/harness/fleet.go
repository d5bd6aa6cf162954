package harness

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	// readyTimeout bounds the wait until a daemon is ready and has a report from
	// every target.
	readyTimeout = 30 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// setupTimeout bounds the installation of the bundle and the budgets.
	setupTimeout = 30 * time.Second
)

// Fleet is a running platform with daemons, targets and customers.
type Fleet struct {
	Platform  *Platform
	Daemons   []*Daemon
	Engines   []*Target
	Services  []*Target
	Operators []Operator
	Bundle    bundle.Bundle     // the bundle in force after Start
	keys      map[string]string // API key by customer id
	options   Options
	t         testing.TB
}

// Start starts a fleet, installs its bundle, creates its budgets and waits
// until every daemon is ready. All processes and proxies stop when the test ends.
func Start(t testing.TB, o Options) *Fleet {
	t.Helper()
	f := &Fleet{options: o.withDefaults(), keys: make(map[string]string), t: t}
	f.Operators = []Operator{newOperator(t, "ana"), newOperator(t, "ben")}
	f.Platform = startPlatform(t)
	f.startTargets()
	f.startDaemons()
	f.install()
	f.AwaitReady()
	return f
}

func (f *Fleet) startTargets() {
	f.t.Helper()
	dir := tempDir(f.t)
	for i := range f.options.Engines {
		e := startTarget(f.t, dir, "engine", fmt.Sprintf("chef-%d", i), f.options.EngineArgs)
		f.Engines = append(f.Engines, e)
		f.must(f.Platform.PutMember(e.member(ChatService)))
	}
	for i := range f.options.Services {
		s := startTarget(f.t, dir, "service", fmt.Sprintf("cantine-%d", i), nil)
		f.Services = append(f.Services, s)
		f.must(f.Platform.PutMember(s.member(PlainService)))
	}
}

// tempDir returns a new directory. Its cleanup is registered before those of
// the processes that write to it, so it is removed after they have exited.
func tempDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "peppertrail-test-")
	if err != nil {
		t.Fatalf("harness: %v", err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

func (f *Fleet) startDaemons() {
	f.t.Helper()
	args := f.options.Times.args()
	for _, o := range f.Operators {
		args = append(args, o.bootstrapArgs()...)
	}
	args = append(args, f.options.DaemonArgs...)
	for i := range f.options.Daemons {
		d := newDaemon(f.t, i, f.Platform.Addr, args)
		d.Start()
		f.Daemons = append(f.Daemons, d)
	}
}

// install brings the bundle into force and creates the budgets.
func (f *Fleet) install() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	f.Bundle = f.initialBundle()
	f.AcceptBundle(ctx, f.Bundle)
	for _, c := range f.options.Customers {
		create := admin.CreateBudget{ID: c.Budget, Customer: c.ID, Tokens: c.Tokens}
		f.must(f.retry(ctx, func() error {
			_, err := f.Operators[0].Client(f.Daemons[0]).CreateBudget(ctx, create)
			return err
		}))
	}
}

// AcceptBundle submits a bundle as the first operator and signs it off as the
// second one, which makes it accepted.
func (f *Fleet) AcceptBundle(ctx context.Context, b bundle.Bundle) {
	f.t.Helper()
	submitted, err := f.Operators[0].Submit(ctx, f.Daemons[0], b)
	f.must(err)
	_, err = f.Operators[1].SignOff(ctx, f.Daemons[0], b, submitted.Progress.Digest)
	f.must(err)
}

// retry repeats a call until it succeeds or ctx ends. It is needed because a
// daemon sees a new bundle only at its next poll.
func (f *Fleet) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// initialBundle returns the bundle that describes the fleet. It creates the API
// key of each customer.
func (f *Fleet) initialBundle() bundle.Bundle {
	b := bundle.Bundle{
		RequiredSignoffs: len(f.Operators),
		Services: []bundle.Service{
			{Name: ChatService, Model: Model, Kind: target.PromText, MaxOutput: f.options.MaxOutput},
			{Name: PlainService, Kind: target.Service, CallCost: f.options.CallCost},
		},
	}
	for _, o := range f.Operators {
		b.Operators = append(b.Operators, o.entry())
	}
	for _, c := range f.options.Customers {
		f.keys[c.ID] = access.NewAPIKey()
		b.Customers = append(b.Customers, c.entry(access.HashAPIKey(f.keys[c.ID])))
	}
	return b
}

// AwaitReady waits until every daemon is ready and has a report from every target.
func (f *Fleet) AwaitReady() {
	f.t.Helper()
	for _, d := range f.Daemons {
		Eventually(f.t, readyTimeout, d.Name+" is ready", func() bool {
			return d.Ready() && f.usableTargets(d) == len(f.Engines)+len(f.Services)
		})
	}
}

// usableTargets returns how many targets a daemon would dispatch to. It uses the
// admin API because /readyz also counts targets that have never reported.
func (f *Fleet) usableTargets(d *Daemon) int {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	reply, err := f.Operators[0].Client(d).Targets(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, s := range reply.Targets {
		working := s.State == target.Joining || s.State == target.Ready
		if working && !s.Snapshot.ReportedAt.IsZero() {
			n++
		}
	}
	return n
}

// APIKey returns the API key of a customer.
func (f *Fleet) APIKey(customer string) string { return f.keys[customer] }

// Eventually polls condition until it is true and fails the test after timeout.
func Eventually(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// must stops the test if err is not nil.
func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatalf("harness: %v", err)
	}
}
