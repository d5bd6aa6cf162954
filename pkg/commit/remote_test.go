package commit

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
)

// Guards against an insert of the same row by several daemons that succeeds for
// two of them or for none, over HTTP with lost replies and an outage.
func TestOneOfConcurrentInsertsOverHTTPSucceeds(t *testing.T) {
	const daemons, keys = 3, 200
	server := standin.New()
	ts := httptest.NewServer(server.Handler())
	defer ts.Close()
	client := remote.New(ts.URL, time.Second)
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	var mu sync.Mutex
	successes := map[string]int{}
	var results, runs sync.WaitGroup
	for d := range daemons {
		record := lease.HolderRecord{Incarnation: fmt.Sprintf("d%d", d)}
		version, err := lease.Register(ctx, client, record)
		assert.NilError(t, err)
		c := New(Options{Table: client, Holder: record, HolderVersion: version, MaxOps: 16, Rate: 200})
		runs.Go(func() { assert.Check(t, errors.Is(c.Run(ctx), ErrStopped)) })
		results.Add(keys)
		for k := range keys {
			key := fmt.Sprintf("claim/%d", (k+d*keys/daemons)%keys)
			op := insertOp(key)
			op.Done = func(r Result) {
				defer results.Done()
				assert.Check(t, r.Err == nil || errors.Is(r.Err, ErrConflict), "%v", r.Err)
				mu.Lock()
				defer mu.Unlock()
				if r.Err == nil {
					successes[key]++
				}
			}
			c.Submit(op)
		}
	}
	assert.NilError(t, server.SetFaults(standin.Faults{LostReplyProbability: 0.3, JitterMs: 5}))
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, server.SetFaults(standin.Faults{TableDown: true}))
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, server.SetFaults(standin.Faults{LostReplyProbability: 0.3, JitterMs: 5}))
	results.Wait()
	cancel()
	runs.Wait()
	assert.Equal(t, len(successes), keys)
	for key, n := range successes {
		assert.Equal(t, n, 1, key)
	}
	assert.Assert(t, server.Stats().LostReplies > 0)
	t.Logf("%+v", server.Stats())
}
