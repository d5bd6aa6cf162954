package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// adapterFunc is a function that implements Adapter.
type adapterFunc func(ctx context.Context, t Target) (Snapshot, error)

func (f adapterFunc) Report(ctx context.Context, t Target) (Snapshot, error) { return f(ctx, t) }

// startPoller runs a poller until the test ends.
func startPoller(t *testing.T, settings PollerSettings) *Poller {
	t.Helper()
	settings.Interval = 20 * time.Millisecond
	p := NewPoller(settings)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return p
}

// waitForState waits until the view shows a target in a state.
func waitForState(t *testing.T, p *Poller, id string, want State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, s := range p.View() {
			if s.Target.ID == id && s.State == want {
				return poll.Success()
			}
		}
		return poll.Continue("%s is not %s: %+v", id, want, p.View())
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// serviceMembers returns a membership list of one plain service.
func serviceMembers(addr string) []storage.Member {
	return []storage.Member{{ID: "a", Kind: storage.TargetMember, Addr: addr, Service: "cantine-app", State: storage.MemberLive}}
}

// Guards against a view that does not show the reports, the draining or the
// death of a target that is read over HTTP.
func TestPollerFollowsTarget(t *testing.T) {
	var status atomic.Value
	status.Store(serviceOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"status":"` + status.Load().(string) + `","inflight":3,"capacity":10}`))
	}))
	defer server.Close()
	p := startPoller(t, PollerSettings{Limits: Limits{
		GoneAfter:          50 * time.Millisecond,
		DrainUnlistedAfter: time.Minute,
		RestartAfter:       time.Minute,
		SuspectFailures:    2,
	}})
	p.Apply(serviceMembers(server.Listener.Addr().String()), services)
	waitForState(t, p, "a", Ready)
	assert.Equal(t, p.View()[0].Snapshot.Running, 3)
	status.Store(serviceDraining)
	waitForState(t, p, "a", Draining)
	server.Close()
	waitForState(t, p, "a", Gone)
}

// Guards against tolerating a refused report connection as if the report were
// merely slow. A refused connection makes the target suspect at once.
func TestPollerRefusedReport(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	p := startPoller(t, PollerSettings{Limits: Limits{
		GoneAfter:          time.Minute,
		DrainUnlistedAfter: time.Minute,
		RestartAfter:       time.Minute,
		SuspectFailures:    1 << 20,
	}})
	p.Apply(serviceMembers(addr), services)
	waitForState(t, p, "a", Suspect)
}

// Guards against exceeding the limit of concurrent reads, and against targets
// that are never read.
func TestPollerConcurrency(t *testing.T) {
	const limit = 4
	var mu sync.Mutex
	running, maxRunning, seen := 0, 0, make(map[string]bool)
	adapter := adapterFunc(func(_ context.Context, target Target) (Snapshot, error) {
		mu.Lock()
		running++
		maxRunning = max(maxRunning, running)
		seen[target.ID] = true
		mu.Unlock()
		time.Sleep(time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return Snapshot{Capacity: 1, ReportedAt: time.Now()}, nil
	})
	p := startPoller(t, PollerSettings{Adapters: map[Kind]Adapter{PromText: adapter}, Concurrency: limit})
	p.Apply(engineMembers(50), services)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if len(seen) == 50 {
			return poll.Success()
		}
		return poll.Continue("%d of 50 targets were read", len(seen))
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, maxRunning <= limit, "%d concurrent reads", maxRunning)
}

// Guards against a shutdown that waits for slow targets, and against counting a
// read that the shutdown cancelled as a failed report.
func TestPollerStopsDuringReads(t *testing.T) {
	started := make(chan struct{})
	var once sync.Once
	adapter := adapterFunc(func(ctx context.Context, _ Target) (Snapshot, error) {
		once.Do(func() { close(started) })
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	})
	p := NewPoller(PollerSettings{Adapters: map[Kind]Adapter{Service: adapter}})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		p.Run(ctx)
		close(stopped)
	}()
	p.Apply(serviceMembers("127.0.0.1:1"), services)
	<-started
	cancel()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5 s after its context ended")
	}
	assert.Equal(t, len(p.observations.takeAll()), 0)
}

// Guards against requests that block on the goroutine of Run. Here that
// goroutine does not run at all.
func TestPollerMethodsDoNotBlock(t *testing.T) {
	p := NewPoller(PollerSettings{})
	for range 10_000 {
		p.DispatchStarted("a")
		p.DispatchEnded("a")
	}
	assert.Equal(t, len(p.observations.takeAll()), 20_000)
}

// Guards against applying a report of the previous instance to the new instance
// at another address.
func TestReportOfOldAddress(t *testing.T) {
	tracker := NewTracker(DefaultLimits())
	tracker.Apply(serviceMembers("10.0.0.2:80"), services, testTime)
	observedReport{id: "a", addr: "10.0.0.1:80", snapshot: Snapshot{Capacity: 1}, at: testTime}.apply(tracker)
	assert.Assert(t, tracker.View()[0].Snapshot.ReportedAt.IsZero())
	observedReport{id: "a", addr: "10.0.0.2:80", snapshot: Snapshot{Capacity: 1}, at: testTime}.apply(tracker)
	assert.Assert(t, !tracker.View()[0].Snapshot.ReportedAt.IsZero())
}
