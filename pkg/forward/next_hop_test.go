package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// newCutOffFixture returns a host that reaches no target, and others to which it forwards.
func newCutOffFixture(t *testing.T, others ...*fixture) *fixture {
	t.Helper()
	f := newFixture(t, 0)
	f.forwardTo(others...)
	now := time.Now().Add(-time.Second)
	f.handler.Targets.Apply([]balance.Target{{ID: "unreachable", Service: testService, Addr: "127.0.0.1:1"}})
	attempt, err := f.handler.Targets.Pick(balance.Request{Service: testService, Now: now})
	assert.NilError(t, err)
	attempt.End(now, balance.Unreached)
	assert.Assert(t, f.handler.Targets.PathLost(testService, time.Now()))
	return f
}

// forwardTo makes the handler forward requests to other hosts.
func (r *fixture) forwardTo(others ...*fixture) {
	var hosts []nexthop.Host
	for i, other := range others {
		if other.handler.Admission == nil {
			other.handler.Admission = nexthop.NewAdmission(10)
		}
		server := httptest.NewServer(http.HandlerFunc(other.handler.ServeHost))
		r.t.Cleanup(server.Close)
		hosts = append(hosts, nexthop.Host{Name: fmt.Sprint("other-", i), Addr: strings.TrimPrefix(server.URL, "http://")})
	}
	r.handler.Hosts, r.handler.HostClient = nexthop.NewSelector(), upstream.New()
	r.handler.Hosts.SetHosts(hosts)
}

// usedTokens returns the tokens of the customer that the host has spent and reserved.
func (r *fixture) usedTokens() (spent, reserved int64) {
	for _, s := range r.budgets.Status() {
		spent, reserved = spent+s.Spent, reserved+s.Reserved
	}
	return spent, reserved
}

// Guards against a forwarded request that is charged twice or not at all, and against an answer that is changed on its way.
func TestForwardedRequestIsChargedOnce(t *testing.T) {
	other := newFixture(t, 1)
	other.configure(10) // it must not need tokens itself
	f := newCutOffFixture(t, other)
	d := dialect.Default()
	got := f.post("r1", "/stream/x", d.Cost, "prompt=40 output=200")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, eventStream("r1", 5))
	assert.Equal(t, got.header.Get(replica.IDHeader), "t0")
	spent, reserved := f.usedTokens()
	assert.Equal(t, spent, int64(40+5*10))
	assert.Equal(t, reserved, int64(0))
	spent, reserved = other.usedTokens()
	assert.Equal(t, spent+reserved, int64(0))
	assert.Equal(t, other.totalRuns(), 1)

	got = f.post("r2", "/unsafe/x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get(refusedHeader), "")
}

// Guards against a request that is forwarded from host to host, and one that is refused late because no host reaches a target.
func TestRequestIsForwardedOnce(t *testing.T) {
	last := newFixture(t, 1)
	middle := newCutOffFixture(t, last)
	f := newCutOffFixture(t, middle)
	start := time.Now()
	got := f.post("r1", "/unsafe/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, "no_path\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Equal(t, last.totalRuns(), 0)
	assert.Assert(t, !f.handler.Hosts.Available(testService, time.Now()), "the other host has no path either")
}

// Guards against a caller that passes its request off as one of another host, whose tokens are reserved already.
func TestHopHeaderOfCallerIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	info := hopInfo{counted: true, reserved: true, runs: 1}.String()
	d := dialect.Default()
	got := f.post("r1", "/unsafe/x", hopHeader, info, d.Cost, "prompt=40 output=0")
	assert.Equal(t, got.status, http.StatusOK)
	spent, _ := f.usedTokens()
	assert.Equal(t, spent, int64(40))
	assert.Equal(t, f.replicas[0].Runs()[0].Header.Get(hopHeader), "", "the target gets the header")
	assert.Equal(t, f.post("r2", "/unsafe/x", d.Cost, "prompt=2000 output=0", hopHeader, info).status, http.StatusPaymentRequired)

	cutOff := newCutOffFixture(t, f)
	got = cutOff.post("r3", "/unsafe/x", hopHeader, hopInfo{runs: 9, version: 9}.String(), d.Cost, "prompt=40 output=0")
	assert.Equal(t, got.status, http.StatusOK)
	spent, _ = f.usedTokens()
	assert.Equal(t, spent, int64(40), "the host that the request came from charges it")
}

// Guards against hosts that refuse although another one could serve, when the first is full or gone.
func TestRequestIsOfferedToAnotherHost(t *testing.T) {
	full, sound := newFixture(t, 1), newFixture(t, 1)
	full.handler.Admission = nexthop.NewAdmission(0)
	f := newCutOffFixture(t, full, sound)
	for i := range 20 {
		got := f.post(fmt.Sprint("r", i), "/unsafe/x")
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	assert.Equal(t, full.totalRuns(), 0)
	f.handler.Hosts.SetHosts([]nexthop.Host{{Name: "gone", Addr: "127.0.0.1:1"}})
	got := f.post("late", "/unsafe/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, "no_path\n")
}

// Guards against a request that runs a second time, or is said not to have run, when the host that it was forwarded to does not answer.
func TestForwardedRequestRunsAtMostOnce(t *testing.T) {
	broken := newFixture(t, 1)
	broken.setFaults(replica.Faults{LoseResponse: true})
	f := newCutOffFixture(t, broken, broken)
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		got := f.post("r"+path, path)
		assert.Equal(t, got.status, http.StatusBadGateway, "%s: %q", path, got.body)
	}
	assert.Equal(t, broken.totalRuns(), 2)
}

// Guards against a request that is sent to a third host although the second may have run it: it gave no answer, or lost its own path after a run.
func TestRequestThatMayHaveRunIsNotSentToThirdHost(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"no answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"path lost after a run": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(refusedHeader, string(NoPath))
			w.Header().Set(dialect.Default().RequestID, r.Header.Get(dialect.Default().RequestID))
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	for name, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		sound := newFixture(t, 1)
		f := newCutOffFixture(t, sound)
		soundAddr := f.handler.Hosts.Pick(testService, nil, time.Now()).Host.Addr
		served := 0
		const requests = 20 // each host is the first for about half of them
		for i := range requests {
			f.handler.Hosts = nexthop.NewSelector()
			f.handler.Hosts.SetHosts([]nexthop.Host{{Name: "sound", Addr: soundAddr}, {Name: "second", Addr: strings.TrimPrefix(server.URL, "http://")}})
			switch got := f.post(fmt.Sprint(name, i), "/unsafe/x"); got.status {
			case http.StatusOK:
				served++
			default:
				assert.Equal(t, got.status, http.StatusBadGateway, "%s: %q", name, got.body)
			}
		}
		assert.Equal(t, sound.totalRuns(), served, name)
		assert.Assert(t, served < requests, name)
	}
}

// Guards against a request that runs on more targets than its route allows, some of them at the host that has forwarded it.
func TestRunsBeforeTheHopCount(t *testing.T) {
	f := newFixture(t, 3)
	f.handler.Admission = nexthop.NewAdmission(1)
	f.setFaults(replica.Faults{AbortAfterEvents: 2})
	server := httptest.NewServer(http.HandlerFunc(f.handler.ServeHost))
	t.Cleanup(server.Close)
	f.server = server
	for runs, want := range map[int]int{0: 2, 1: 1} {
		before := f.totalRuns()
		got := f.post(fmt.Sprint("r", runs), "/resumable/x", hopHeader, hopInfo{runs: runs}.String())
		assert.Assert(t, got.err != nil, "%q", got.body)
		assert.Equal(t, f.totalRuns()-before, want, "after %d runs", runs)
	}
}

// Guards against a stream that looks complete after the host that forwards it has broken it off, and against missing or repeated events if that host resumes it.
func TestForwardedStreamIsResumedOrBrokenOff(t *testing.T) {
	aborting := newFixture(t, 1)
	for id, path := range map[string]string{"r1": "/resumable/x", "r2": "/stream/x"} {
		aborting.setFaults(replica.Faults{AbortAfterEvents: 2, EventPause: 5 * time.Millisecond})
		f := newCutOffFixture(t, aborting)
		got := f.post(id, path)
		assert.Assert(t, got.err != nil, "%s: %q", path, got.body)
		assert.Equal(t, got.body, eventStream(id, 2))
	}
	other := newFixture(t, 2)
	other.replicas[0].SetFaults(replica.Faults{AbortAfterEvents: 2})
	f := newCutOffFixture(t, other)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		got := f.post(id, "/resumable/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventStream(id, 5))
	}
}

// Guards against a target that goes on for a caller who has left, when another host has forwarded the request.
func TestCloseOfCallerReachesTargetThroughHost(t *testing.T) {
	other := newFixture(t, 1)
	other.setFaults(replica.Faults{EventPause: 100 * time.Millisecond})
	f := newCutOffFixture(t, other)
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.postWithContext(ctx, "r1", "/stream/x").err != nil)
	deadline := time.Now().Add(500 * time.Millisecond)
	for other.handler.Admission.Open() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, other.handler.Admission.Open(), 0)
}

// Guards against a host that runs requests by a configuration although it knows that others have a newer one, or denies them for good by it.
func TestOutdatedHostForwardsAllRequests(t *testing.T) {
	f, other := newFixture(t, 1), newFixture(t, 1)
	outdated := true
	f.handler.ConfigurationOutdated = func() bool { return outdated }
	for _, path := range []string{"/unsafe/x", "/added/x"} {
		got := f.post("alone"+path, path)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.body, "configuration_outdated\n")
		assert.Assert(t, got.closed, "the caller stays with this host")
	}
	f.forwardTo(other)
	d := dialect.Default()
	assert.Equal(t, f.post("r1", "/stream/x", d.Cost, "prompt=40 output=200").body, eventStream("r1", 5))
	assert.Equal(t, f.post("r2", "/added/x").status, http.StatusNotFound, "the other host is up to date")
	spent, _ := other.usedTokens()
	assert.Equal(t, spent, int64(40+5*10))
	spent, _ = f.usedTokens()
	assert.Equal(t, spent, int64(0))
	assert.Equal(t, f.totalRuns(), 0)
	outdated = false
	assert.Equal(t, f.post("r3", "/unsafe/x").status, http.StatusOK)
	assert.Equal(t, f.totalRuns(), 1)
}

// Guards against a caller who meets an older configuration through another host than the one that it has met before.
func TestHostWithOlderConfigurationDoesNotHandleForwardedRequest(t *testing.T) {
	older, newer := newFixture(t, 1), newFixture(t, 1)
	f := newCutOffFixture(t, older, newer)
	for _, host := range []*fixture{f, newer} {
		c := *host.config.Load()
		c.Version = 2
		host.config.Store(&c)
	}
	for i := range 10 {
		assert.Equal(t, f.post(fmt.Sprint("r", i), "/unsafe/x").status, http.StatusOK)
	}
	assert.Equal(t, older.totalRuns(), 0)
	f.forwardTo(older)
	assert.Equal(t, f.post("last", "/unsafe/x").body, "no_path\n")
}

// Guards against requests that run twice, are charged though they have not run, or are refused untruthfully, whatever the hosts and targets between caller and answer do.
func TestForwardedRequestsKeepTheirPromises(t *testing.T) {
	hosts := []*fixture{newFixture(t, 2), newFixture(t, 2), newFixture(t, 2)}
	f := newCutOffFixture(t, hosts...)
	f.configure(10_000_000)
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		for _, host := range hosts {
			for _, target := range host.replicas {
				target.SetFaults(rapid.SampledFrom([]replica.Faults{{}, {}, {RejectAll: true}, {LoseResponse: true}, {Status: http.StatusInternalServerError}, {AbortAfterEvents: 2}}).Draw(rt, "faults"))
			}
		}
		now := time.Now()
		f.handler.Hosts.RecordLostPath(fmt.Sprint("other-", rapid.IntRange(0, 3).Draw(rt, "lost")), testService, now)
		for range rapid.IntRange(1, 4).Draw(rt, "requests") {
			n++
			id := fmt.Sprint("p", n)
			path := rapid.SampledFrom([]string{"/unsafe/x", "/stream/x", "/resumable/x", "/safe/x"}).Draw(rt, "path")
			spentBefore, _ := f.usedTokens()
			got := f.post(id, path, dialect.Default().Cost, "prompt=10 output=100")
			runs := 0
			for _, host := range hosts {
				for _, target := range host.replicas {
					for _, run := range target.Runs() {
						if run.ID == id {
							runs++
						}
					}
				}
			}
			spent, reserved := f.usedTokens()
			assert.Assert(rt, reserved == 0, "%d tokens stay reserved", reserved)
			switch {
			case got.err == nil && got.status == http.StatusServiceUnavailable:
				assert.Assert(rt, runs == 0 && spent == spentBefore, "%s %s was refused and has run %d times, for %d tokens", id, path, runs, spent-spentBefore)
			case got.err == nil && got.status == http.StatusOK:
				assert.Assert(rt, spent > spentBefore && runs > 0)
				if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable") {
					assert.Assert(rt, got.body == eventStream(id, 5), "%q", got.body)
				}
			}
			assert.Assert(rt, runs <= 2, "%s %s has run %d times, its route allows two", id, path, runs)
			if path == "/unsafe/x" || path == "/stream/x" {
				assert.Assert(rt, runs <= 1, "%s %s has run %d times", id, path, runs)
			}
		}
	})
}

// Guards against a stream from another host that looks complete to a caller that has not read until the deadline, or ends without a reason.
func TestForwardedStreamToCallerThatDoesNotReadIsNotComplete(t *testing.T) {
	e := startEndlessTarget(t, headStream+"\r\n", "data: "+strings.Repeat("x", 256<<10)+"\n\n", 0)
	other, _ := newEndlessFixture(t, e)
	f := newCutOffFixture(t, other)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	d := dialect.Default()
	fmt.Fprintf(conn, "POST /short/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: %s\r\n%s: prompt=100 output=500\r\nContent-Length: 0\r\n\r\n", testHostName, d.RequestID, d.Key, testKey, d.Cost)
	time.Sleep(600 * time.Millisecond) // past the deadline
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer, err := io.ReadAll(conn)
	assert.Assert(t, len(answer) > 0)
	assert.Assert(t, !bytes.HasSuffix(answer, []byte("0\r\n\r\n")), "the stream looks complete: error %v", err)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
	spent, reserved := f.usedTokens()
	assert.Assert(t, spent > 0 && reserved == 0)
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	// The other host may end the stream at its own deadline, 20 ms earlier.
	assert.Equal(t, f.observer.refused[DeadlinePassed]+f.observer.refused[AnswerBroken], 1, "the request ends without a reason: %v", f.observer.refused)
}

// allowedRetries returns how many retries the host may send now.
func (r *fixture) allowedRetries() int {
	n := 0
	for r.handler.retryLimit(testService).AllowRetry(time.Now()) {
		n++
	}
	return n
}

// Guards against a forwarded request that gives its retries to the host that cannot send it,
// so that the other host has none for it, and against one that two hosts count.
func TestForwardedRequestCountsOnceForRetries(t *testing.T) {
	const requests = 6
	for name, others := range map[string][]*fixture{
		"one host":             {newFixture(t, 1)},
		"one host has no path": {newCutOffFixture(t), newFixture(t, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			for _, other := range others {
				other.handler.RetryRatio, other.handler.RetryReserve = 1, func() float64 { return 0 }
			}
			f := newCutOffFixture(t, others...)
			f.handler.RetryRatio, f.handler.RetryReserve = 1, func() float64 { return 0 }
			for i := range requests {
				got := f.post(fmt.Sprint("r", i), "/safe/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, f.allowedRetries(), 0)
			allowed := 0
			for _, other := range others {
				allowed += other.allowedRetries()
			}
			assert.Assert(t, allowed <= requests, "%d requests allow %d retries", requests, allowed)
			if len(others) == 1 {
				assert.Equal(t, allowed, requests)
			}
		})
	}
}
