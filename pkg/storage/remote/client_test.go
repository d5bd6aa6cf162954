package remote

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const testTimeout = 5 * time.Second

func startPlatform(t *testing.T, timeout time.Duration) (*standin.Server, *Client) {
	t.Helper()
	server := standin.New()
	ts := httptest.NewServer(server.Handler())
	t.Cleanup(ts.Close)
	client := New(ts.URL+"/", timeout)
	t.Cleanup(client.Close)
	return server, client
}

func insertTxn(id, key string) storage.Txn {
	return storage.Txn{
		ID:         id,
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: json.RawMessage(`{"n":1}`)}},
	}
}

// Guards against a row that commit, get or scan changes in transit.
func TestTableRoundTrip(t *testing.T) {
	_, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	outcome, err := client.Commit(ctx, insertTxn("t1", "a/1"))
	assert.NilError(t, err)
	assert.Assert(t, outcome.Committed)
	rows, err := client.Get(ctx, "a/2", "a/1")
	assert.NilError(t, err)
	want := storage.Row{Key: "a/1", Value: json.RawMessage(`{"n":1}`), Version: outcome.Revision}
	assert.DeepEqual(t, rows, []storage.Row{{Key: "a/2"}, want})
	rows, err = client.Scan(ctx, "a/", "", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []storage.Row{want})
}

// Guards against reporting a lost reply as a decision, and against applying the
// transaction again when it is resubmitted.
func TestLostReplyIsUnavailableUntilResubmitted(t *testing.T) {
	server, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	assert.NilError(t, server.SetFaults(standin.Faults{LostReplyProbability: 1}))
	_, err := client.Commit(ctx, insertTxn("t1", "k"))
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	assert.NilError(t, server.SetFaults(standin.Faults{}))
	outcome, err := client.Commit(ctx, insertTxn("t1", "k"))
	assert.NilError(t, err)
	assert.Assert(t, outcome.Committed)
	assert.Equal(t, server.Stats().Commits, uint64(1))
}

// Guards against reporting an outage or an overload as a permanent error.
func TestOutageAndOverloadAreUnavailable(t *testing.T) {
	ctx := context.Background()
	commit := func(c *Client) error { _, err := c.Commit(ctx, insertTxn("x", "x")); return err }
	for name, fault := range map[string]standin.Faults{
		"down":    {TableDown: true},
		"slow":    {LatencyMs: 300},
		"limited": {MaxWritesPerSecond: 0.001},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := startPlatform(t, 100*time.Millisecond)
			assert.NilError(t, server.SetFaults(fault))
			commitErr := commit(client)
			if name == "limited" {
				assert.NilError(t, commitErr)
				commitErr = commit(client)
			}
			assert.ErrorIs(t, commitErr, storage.ErrUnavailable)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	assert.ErrorIs(t, commit(New("http://"+addr, testTimeout)), storage.ErrUnavailable)
}

// Guards against reporting a rejected call as unavailable, which would be retried
// without limit.
func TestBadRequestIsNotUnavailable(t *testing.T) {
	_, client := startPlatform(t, testTimeout)
	_, err := client.Commit(context.Background(), storage.Txn{})
	var status *StatusError
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, status.Code, http.StatusBadRequest)
	assert.Assert(t, !errors.Is(err, storage.ErrUnavailable))
}

// Guards against reading a truncated reply as a decision.
func TestTruncatedReplyIsUnavailable(t *testing.T) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"committed":true,`)
	}))
	defer ts.Close()
	_, err := New(ts.URL, testTimeout).Commit(context.Background(), insertTxn("x", "x"))
	assert.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against misrouting object keys with reserved characters, and against
// confusing a missing object with an outage.
func TestObjects(t *testing.T) {
	server, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	objects := client.Objects()
	assert.NilError(t, objects.Put(ctx, "bills/a b?c/%2F#1", []byte("data")))
	got, err := objects.Get(ctx, "bills/a b?c/%2F#1")
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data")
	_, err = objects.Get(ctx, "bills/none")
	assert.ErrorIs(t, err, storage.ErrObjectNotFound)
	assert.NilError(t, server.SetFaults(standin.Faults{ObjectsDown: true}))
	_, err = objects.Get(ctx, "bills/none")
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, storage.ErrObjectNotFound))
}

// Guards against losing fields of members, and against an outage of the membership
// list that is not reported as unavailable.
func TestMembers(t *testing.T) {
	server, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	m := storage.Member{ID: "d1", Kind: storage.DaemonMember, Addr: "127.0.0.1:1", State: storage.MemberLive}
	body, err := json.Marshal(m)
	assert.NilError(t, err)
	_, err = client.call(ctx, http.MethodPut, "/members/d1", body)
	assert.NilError(t, err)
	members, err := client.Members(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, members, []storage.Member{m})
	assert.NilError(t, server.SetFaults(standin.Faults{MembersDown: true}))
	_, err = client.Members(ctx)
	assert.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against missing a change of the list, against transferring an unchanged
// list again, and against a cached list that a caller can change through an earlier
// result.
func TestUnchangedMembersAreNotSentAgain(t *testing.T) {
	server := standin.New()
	sent := 0
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, r)
		sent += recorder.Body.Len()
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(ts.Close)
	client := New(ts.URL, testTimeout)
	t.Cleanup(client.Close)
	ctx := context.Background()
	for n := 1; n <= 3; n++ {
		id := fmt.Sprintf("d%d", n)
		body, err := json.Marshal(storage.Member{ID: id, Kind: storage.DaemonMember, State: storage.MemberLive})
		assert.NilError(t, err)
		_, err = client.call(ctx, http.MethodPut, "/members/"+id, body)
		assert.NilError(t, err)
		first, err := client.Members(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(first), n)
		before := sent
		first[0].ID = "changed"
		again, err := client.Members(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(again), n)
		assert.Equal(t, again[0].ID, "d1")
		assert.Equal(t, sent, before)
	}
}

// Guards against returning a stale list if the platform sends no entity tags.
func TestMembersWithoutETags(t *testing.T) {
	n := 0
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n++
		fmt.Fprintf(w, `[{"id":"d%d"}]`, n)
	}))
	t.Cleanup(ts.Close)
	client := New(ts.URL, testTimeout)
	for i := 1; i <= 2; i++ {
		members, err := client.Members(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, members[0].ID, fmt.Sprintf("d%d", i))
	}
}

// Guards against concurrent calls that each open a connection.
func TestConnectionsAreReused(t *testing.T) {
	var mu sync.Mutex
	opened := 0
	ts := httptest.NewUnstartedServer(standin.New().Handler())
	ts.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			mu.Lock()
			opened++
			mu.Unlock()
		}
	}
	ts.Start()
	defer ts.Close()
	client := New(ts.URL, testTimeout)
	const workers, calls = 16, 50
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range calls {
				_, err := client.Get(context.Background(), "k")
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d connections for %d calls by %d workers", opened, workers*calls, workers)
	assert.Assert(t, opened <= 4*workers, "opened %d", opened)
}
