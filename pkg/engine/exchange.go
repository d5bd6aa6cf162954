package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// errIdle is the cause of a cancellation by the idle timeout.
var errIdle = errors.New("no bytes for the idle timeout")

// exchange is one HTTP request and its answer, with an idle timer and the
// connections that the transport used for it.
type exchange struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   time.Duration
	timer  *time.Timer

	mu    sync.Mutex
	conns []*trackedConn
}

// newExchange starts the idle timer.
func newExchange(ctx context.Context, idle time.Duration) *exchange {
	x := &exchange{idle: idle}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	x.ctx = httptrace.WithClientTrace(x.ctx, trace)
	x.timer = time.AfterFunc(idle, func() { x.cancel(errIdle) })
	return x
}

// gotConn is called before the request is written to a connection.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	conn.begin()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, conn)
}

// roundTrip sends the request and waits for the headers of the answer. The
// caller ends the exchange.
func (x *exchange) roundTrip(transport *http.Transport, r *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(r.WithContext(x.ctx))
	if err != nil {
		return nil, x.cause(err)
	}
	x.timer.Stop()
	return resp, nil
}

// cause returns the reason of a cancelled exchange, or err.
func (x *exchange) cause(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}

// unsent reports whether no byte of the request was written. If so, none will be.
func (x *exchange) unsent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	unsent := true
	for _, c := range x.conns {
		unsent = c.seal() && unsent
	}
	return unsent
}

// died reports whether err, returned by cause, means that the target stopped answering.
func (x *exchange) died(err error) bool {
	if errors.Is(err, errIdle) {
		return true
	}
	if x.ctx.Err() != nil {
		return false
	}
	if dialFailed(err) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns) > 0 && x.conns[len(x.conns)-1].wasLost()
}

// end stops the timer and releases the connection if the answer was not read
// to its end.
func (x *exchange) end() {
	x.timer.Stop()
	x.cancel(nil)
}
