package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// errIdleTimeout is the cancellation cause of an exchange whose idle timer expired.
var errIdleTimeout = errors.New("no bytes for the idle timeout")

// exchange is one HTTP request and its response, with an idle timer and the
// connections that the transport used for it.
type exchange struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	idleTimeout time.Duration
	idleTimer   *time.Timer

	mu    sync.Mutex
	conns []*trackedConn
}

// newExchange returns an exchange and starts its idle timer.
func newExchange(ctx context.Context, idle time.Duration) *exchange {
	x := &exchange{idleTimeout: idle}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	x.ctx = httptrace.WithClientTrace(x.ctx, trace)
	x.idleTimer = time.AfterFunc(idle, func() { x.cancel(errIdleTimeout) })
	return x
}

// gotConn records a connection. The transport calls it before it writes the
// request to that connection.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	conn.beginRequest()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, conn)
}

// roundTrip sends the request, waits for the response headers and stops the idle
// timer. The caller must call end.
func (x *exchange) roundTrip(transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(r.WithContext(x.ctx))
	if err != nil {
		return nil, x.cause(err)
	}
	x.idleTimer.Stop()
	return resp, nil
}

// cause returns the cancellation cause of the exchange, or err if it was not
// cancelled.
func (x *exchange) cause(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}

// unsent reports whether no byte of the request was written. If so, it blocks
// later writes on the connections of the exchange.
func (x *exchange) unsent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	unsent := true
	for _, c := range x.conns {
		unsent = c.blockIfUnwritten() && unsent
	}
	return unsent
}

// targetDown reports whether err, returned by cause, means that the target
// stopped responding.
func (x *exchange) targetDown(err error) bool {
	if errors.Is(err, errIdleTimeout) {
		return true
	}
	if x.ctx.Err() != nil {
		return false
	}
	if isRemoteDialError(err) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns) > 0 && x.conns[len(x.conns)-1].wasLost()
}

// end stops the idle timer and cancels the exchange, which releases the
// connection if the response was not read to its end.
func (x *exchange) end() {
	x.idleTimer.Stop()
	x.cancel(nil)
}
