package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/test/harness/proxy"
)

// Guards against calls that go on to use a connection to another host that has gone silent:
// each would wait for its time limit, until the kernel ends the connection.
func TestCallLeavesSilentConnection(t *testing.T) {
	store := rowstore.New(nil)
	_, peer := startRelay(t, store)
	path, err := proxy.Listen("127.0.0.1:0", peer)
	assert.NilError(t, err)
	defer path.Close()
	r := New(store.Client(), func() []string { return nil }, discardLog())
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		var page storage.RowPage
		return r.Call(ctx, path.Addr(), methodRange, rangeParams{Table: "t"}, &page)
	}
	assert.NilError(t, call())
	silent := r.conns.conns[path.Addr()]
	assert.NilError(t, path.SetRules(proxy.Cut()))
	assert.ErrorIs(t, call(), storage.ErrUnavailable)
	assert.NilError(t, path.Heal())
	assert.NilError(t, call())
	r.conns.mu.Lock()
	defer r.conns.mu.Unlock()
	assert.Assert(t, r.conns.conns[path.Addr()] != silent, "the connection that was silent is still in use")
}
