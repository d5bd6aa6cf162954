package daemon

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	testAPIKey       = "test-key-of-the-regie"
	testBudget       = "regie-main"
	testBudgetTokens = 100000
	waitTimeout      = 20 * time.Second
	waitInterval     = 20 * time.Millisecond
	testRequest      = `{"model":"chef","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"soup?"}]}`
)

// testFleet is a platform and an engine for the daemons under test, all in the
// test process.
type testFleet struct {
	platform *standin.Server
	url      string
	table    *remote.Client
	operator ed25519.PrivateKey
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{platform: standin.New()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.table = remote.New(server.URL, 2*time.Second)
	var err error
	f.operator, err = access.NewOperatorKey()
	assert.NilError(t, err)
	standInEngine, err := engine.New(engine.Options{Slots: 8, Kind: target.PromText, CacheBlocks: 64, Retention: time.Minute})
	assert.NilError(t, err)
	engineServer := httptest.NewServer(standInEngine.Handler())
	t.Cleanup(engineServer.Close)
	f.platform.Local().PutMember(storage.Member{
		ID: "chef-0", Kind: storage.TargetMember, Addr: strings.TrimPrefix(engineServer.URL, "http://"),
		Region: "m", FailureDomain: "k", Service: "chef-llm", State: storage.MemberLive,
	})
	return f
}

// operators returns the bundle entry of the test operator.
func (f *testFleet) operators() []bundle.Operator {
	return []bundle.Operator{bundle.NewOperator("ana", f.operator.Public().(ed25519.PublicKey))}
}

// installBundle brings a bundle into force and creates the test budget.
func (f *testFleet) installBundle(t *testing.T) {
	t.Helper()
	b := bundle.Normalized(bundle.Bundle{
		Operators:        f.operators(),
		RequiredSignoffs: 1,
		Customers: []bundle.Customer{{
			ID: "regie", KeyHashes: []string{access.HashAPIKey(testAPIKey)}, Services: []string{"chef-llm"},
			Budget: testBudget, MaxPriority: 9, CoverSeconds: 10, MinTokens: 1000, MaxShare: 0.5,
		}},
		Services: []bundle.Service{{Name: "chef-llm", Model: "chef", Kind: target.PromText, MaxOutput: 64}},
	})
	signature, err := bundle.Sign(b, "ana", f.operator)
	assert.NilError(t, err)
	store := bundle.NewStore(f.table, f.operators())
	_, err = store.Submit(t.Context(), bundle.Proposal{Author: "ana", Bundle: b, Signatures: []bundle.Signature{signature}})
	assert.NilError(t, err)
	record := budget.Record{ID: testBudget, Customer: "regie", Limit: testBudgetTokens}
	_, err = f.table.Commit(t.Context(), storage.Txn{ID: "budget", Puts: []storage.Put{{Key: budget.BudgetKey(testBudget), Value: encode(t, record)}}})
	assert.NilError(t, err)
}

// runningDaemon is a daemon that runs until stop is called.
type runningDaemon struct {
	*Daemon
	logs      *syncBuffer
	cancel    context.CancelFunc
	runResult chan error
}

// start runs a daemon. extra holds additional command-line settings.
func (f *testFleet) start(t *testing.T, host string, extra ...string) *runningDaemon {
	t.Helper()
	return f.startAt(t, host, "127.0.0.1:0", extra...)
}

// startAt runs a daemon with the given peer address.
func (f *testFleet) startAt(t *testing.T, host, peerAddr string, extra ...string) *runningDaemon {
	t.Helper()
	operator := f.operators()[0]
	args := append([]string{
		"--host", host, "--region", "m", "--failure-domain", "k", "--platform", f.url,
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", peerAddr,
		"--bootstrap-operator", operator.Name + "=" + operator.PublicKey,
		"--holder-ttl", "3s", "--renew-interval", "500ms", "--bundle-poll", "200ms",
	}, extra...)
	c, err := config.Parse(args, func(string) string { return "" })
	assert.NilError(t, err)
	logs := &syncBuffer{}
	d, err := New(c, logs)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	run := &runningDaemon{Daemon: d, logs: logs, cancel: cancel, runResult: make(chan error, 1)}
	go func() { run.runResult <- d.Run(ctx) }()
	t.Cleanup(cancel)
	waitFor(t, "daemon "+host+" started", func() bool { return strings.Contains(logs.String(), "Daemon started.") })
	return run
}

// stop stops the daemon and returns the result of Run.
func (d *runningDaemon) stop(t *testing.T) error {
	t.Helper()
	d.cancel()
	select {
	case err := <-d.runResult:
		return err
	case <-time.After(waitTimeout):
		t.Fatalf("daemon did not stop: %s", d.logs.String())
		return nil
	}
}

// sendRequest sends testRequest and returns the status and body of the response.
// headers alternates names and values.
func (d *runningDaemon) sendRequest(t *testing.T, client *http.Client, scheme string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, scheme+"://"+d.listeners.callers.Addr().String()+"/v1/chat/completions", strings.NewReader(testRequest))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// waitForTargetReport waits until a target has reported to the daemon.
func (d *runningDaemon) waitForTargetReport(t *testing.T) {
	t.Helper()
	waitFor(t, "first target report", func() bool {
		return d.targetReported.Load() || d.targetReportedOrTimedOut(d.started)
	})
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
		time.Sleep(waitInterval)
	}
}

// syncBuffer is a buffer for logs that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns the data written so far.
func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func adminStatus(t *testing.T, d *runningDaemon, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + d.listeners.operators.Addr().String() + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}
