package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// silentTimeouts is the duration of silence after which a connection is given up, in timeouts of calls.
const silentTimeouts = 2

// link keeps one connection to an address. Calls that find it broken share one
// attempt to connect.
type link struct {
	addr string
	opt  Options
	ctx  context.Context // ends with close
	stop context.CancelFunc

	mu     sync.Mutex
	conn   *clientConn
	dialed *dial // attempt under way, else nil
}

// dial is an attempt to connect. conn and err are valid after done is closed.
type dial struct {
	done chan struct{}
	conn *clientConn
	err  error
}

func newLink(addr string, opt Options) *link {
	ctx, stop := context.WithCancel(context.Background())
	return &link{addr: addr, opt: opt, ctx: ctx, stop: stop}
}

func (l *link) close() {
	l.stop()
}

func (l *link) closed() bool {
	return l.ctx.Err() != nil
}

// get returns the kept connection or a new one. After close it returns
// ErrClosed: the connection itself ends a moment later.
func (l *link) get(ctx context.Context) (*clientConn, error) {
	if l.closed() {
		return nil, ErrClosed
	}
	conn, attempt := l.current()
	if conn != nil {
		return conn, nil
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// current returns the kept connection, or the attempt to connect, which it starts if needed.
func (l *link) current() (*clientConn, *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.broken() {
		return l.conn, nil
	}
	l.conn = nil
	if l.dialed == nil {
		l.dialed = &dial{done: make(chan struct{})}
		go l.connect(l.dialed)
	}
	return nil, l.dialed
}

// connect is bounded by the timeout of a call but not by the context of the
// caller that started it, since other callers wait for it too.
func (l *link) connect(attempt *dial) {
	ctx, cancel := context.WithTimeout(l.ctx, l.opt.Timeout)
	defer cancel()
	conn, err := l.dialTCP(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialed = nil
	defer close(attempt.done)
	if l.closed() {
		attempt.err = ErrClosed
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil {
		attempt.err = err
		return
	}
	l.conn = &clientConn{
		rpc:     newRPCConn(l.ctx, conn, l.opt.Timeout, refuseAll, errorLogger(nil)),
		silence: silence{limit: silentTimeouts * l.opt.Timeout},
	}
	attempt.conn = l.conn
}

func (l *link) dialTCP(ctx context.Context) (net.Conn, error) {
	if l.opt.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", l.addr)
	}
	return (&tls.Dialer{Config: l.opt.TLS}).DialContext(ctx, "tcp", l.addr)
}

// refuseAll answers the calls that a server sends to its client; the protocol has none.
var refuseAll = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients serve no methods"}
})
