package relay

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/idle"
)

// peerConn is a connection on which this host calls another one.
type peerConn struct {
	*jsonrpc2.Conn
	open openCalls
}

// call makes one call.
func (c *peerConn) call(ctx context.Context, method string, params, result any) error {
	done := c.open.add(ctx)
	defer done()
	err := c.Call(ctx, method, params, result)
	if err != nil && err == ctx.Err() {
		err = context.Cause(ctx) // says that the time limit has passed
	}
	return err
}

// openCalls are the calls of a connection that wait for an answer. While a large message
// arrives, all of them make progress: it may be their answer, or delay it.
type openCalls struct {
	mu       sync.Mutex
	last     uint64 // number of the last call
	byNumber map[uint64]context.Context
}

// add adds a call. The returned function removes it.
func (o *openCalls) add(ctx context.Context) (done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byNumber == nil {
		o.byNumber = make(map[uint64]context.Context)
	}
	o.last++
	number := o.last
	o.byNumber[number] = ctx
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.byNumber, number)
	}
}

// progress restarts the idle timeouts of the open calls.
func (o *openCalls) progress() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ctx := range o.byNumber {
		idle.Progress(ctx)
	}
}
