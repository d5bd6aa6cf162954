package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// dialTimeout bounds the setup of a connection to another host.
const dialTimeout = 300 * time.Millisecond

// links are kept connections to other hosts.
type links struct {
	mu       sync.Mutex
	conns    map[string]*jsonrpc2.Conn
	answered map[string]time.Time // last answer of each peer
}

// call makes one call. A connection on which no call has an answer while this
// one waits in vain is closed.
func (l *links) call(ctx context.Context, peer, method string, params, result any) error {
	conn, err := l.get(ctx, peer)
	if err != nil {
		return err
	}
	start := time.Now()
	err = conn.Call(ctx, method, params, result)
	if err == jsonrpc2.ErrClosed || (ctx.Err() != nil && !l.answeredSince(peer, start)) {
		l.drop(peer, conn)
	}
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) {
		l.noteAnswer(peer)
	}
	return err
}

func (l *links) answeredSince(peer string, start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered[peer].After(start)
}

func (l *links) noteAnswer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[peer] = time.Now()
}

func (l *links) get(ctx context.Context, peer string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	conn := l.conns[peer]
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialed, err := upstream.Dialer(dialTimeout).DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(dialed), refuse{}, jsonrpc2.SetLogger(quiet{}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.conns[peer]; other != nil {
		_ = conn.Close() // another call was faster
		return other, nil
	}
	l.conns[peer] = conn
	go l.forget(peer, conn)
	return conn, nil
}

// forget removes a connection that has ended.
func (l *links) forget(peer string, conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	l.drop(peer, conn)
}

func (l *links) drop(peer string, conn *jsonrpc2.Conn) {
	_ = conn.Close() // it may have ended
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[peer] == conn {
		delete(l.conns, peer)
		delete(l.answered, peer)
	}
}

// refuse takes no calls: hosts call on connections that they have opened.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
