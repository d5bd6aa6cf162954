package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// unansweredTimeouts is the duration without any reply after which a connection
// may be closed, as a multiple of Options.Timeout.
const unansweredTimeouts = 2

// sharedConn keeps one connection to an address open. Calls that find it broken
// wait for the same attempt to reconnect.
type sharedConn struct {
	addr string
	opt  Options
	ctx  context.Context // cancelled by close
	stop context.CancelFunc

	mu      sync.Mutex
	conn    *clientConn
	dialing *dialAttempt // attempt in progress, else nil
}

// dialAttempt is an attempt to connect. conn and err are valid after done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

func newSharedConn(addr string, opt Options) *sharedConn {
	ctx, stop := context.WithCancel(context.Background())
	return &sharedConn{addr: addr, opt: opt, ctx: ctx, stop: stop}
}

func (s *sharedConn) close() {
	s.stop()
}

func (s *sharedConn) closed() bool {
	return s.ctx.Err() != nil
}

// get returns the open connection or a new one. After close it returns ErrClosed
// at once, although the connection itself ends slightly later.
func (s *sharedConn) get(ctx context.Context) (*clientConn, error) {
	if s.closed() {
		return nil, ErrClosed
	}
	conn, attempt := s.current()
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

// current returns the open connection. If there is none, it returns the attempt to
// connect, which it starts if none is in progress.
func (s *sharedConn) current() (*clientConn, *dialAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && !s.conn.broken() {
		return s.conn, nil
	}
	s.conn = nil
	if s.dialing == nil {
		s.dialing = &dialAttempt{done: make(chan struct{})}
		go s.connect(s.dialing)
	}
	return nil, s.dialing
}

// connect connects and completes attempt. Options.Timeout limits it, but not the
// context of the caller that started it, since other callers wait for it too.
func (s *sharedConn) connect(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opt.Timeout)
	defer cancel()
	conn, err := s.dialPeer(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing = nil
	defer close(attempt.done)
	if s.closed() {
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
	s.conn = &clientConn{
		rpc:        newRPCConn(s.ctx, conn, s.opt.Timeout, rejectAllCalls, errorLogger(nil)),
		unanswered: unansweredCalls{maxDuration: unansweredTimeouts * s.opt.Timeout},
	}
	attempt.conn = s.conn
}

func (s *sharedConn) dialPeer(ctx context.Context) (net.Conn, error) {
	if s.opt.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", s.addr)
	}
	return (&tls.Dialer{Config: s.opt.TLS}).DialContext(ctx, "tcp", s.addr)
}

// rejectAllCalls rejects calls from a server to its client, which the protocol does
// not define.
var rejectAllCalls = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients serve no methods"}
})
