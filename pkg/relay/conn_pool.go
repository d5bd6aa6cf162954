package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// dialTimeout bounds the setup of a connection to another host.
const dialTimeout = 300 * time.Millisecond

// connPool keeps connections to other hosts open for reuse.
type connPool struct {
	log        *log.Logger
	mu         sync.Mutex
	conns      map[string]*peerConn
	answeredAt map[string]time.Time // time of the last answer of each peer
}

// call makes one call. If the call times out and the peer has answered no other
// call in the meantime, the connection is closed.
func (p *connPool) call(ctx context.Context, peer, method string, params, result any) error {
	conn, err := p.get(ctx, peer)
	if err != nil {
		return err
	}
	start := time.Now()
	err = conn.call(ctx, method, params, result)
	if err == jsonrpc2.ErrClosed || (ctx.Err() != nil && !p.answeredSince(peer, start)) {
		p.drop(peer, conn)
	}
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) {
		p.recordAnswer(peer)
	}
	return err
}

// callSeparately makes one call on a connection that no other call uses.
func (p *connPool) callSeparately(ctx context.Context, peer, method string, params, result any) error {
	conn, err := p.dial(ctx, peer)
	if err != nil {
		return err
	}
	defer conn.Close() // it may have ended already
	return conn.call(ctx, method, params, result)
}

func (p *connPool) answeredSince(peer string, start time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt[peer].After(start)
}

func (p *connPool) recordAnswer(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt[peer] = time.Now()
}

func (p *connPool) get(ctx context.Context, peer string) (*peerConn, error) {
	p.mu.Lock()
	conn := p.conns[peer]
	p.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := p.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[peer]; other != nil {
		_ = conn.Close() // a concurrent call connected first
		return other, nil
	}
	p.conns[peer] = conn
	go p.dropOnDisconnect(peer, conn)
	return conn, nil
}

// dial opens a connection to a peer.
func (p *connPool) dial(ctx context.Context, peer string) (*peerConn, error) {
	dialed, err := upstream.Dialer(dialTimeout).DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	conn := &peerConn{}
	conn.Conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), newMessageStream(dialed, p.log, conn.open.progress), ignoreCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	return conn, nil
}

// dropOnDisconnect waits for the end of a connection and removes it.
func (p *connPool) dropOnDisconnect(peer string, conn *peerConn) {
	<-conn.DisconnectNotify()
	p.drop(peer, conn)
}

func (p *connPool) drop(peer string, conn *peerConn) {
	_ = conn.Close() // may already be closed
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[peer] == conn {
		delete(p.conns, peer)
		delete(p.answeredAt, peer)
	}
}

// ignoreCalls ignores incoming calls: a host sends calls only on connections that
// it has opened itself.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
