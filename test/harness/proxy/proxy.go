// Package proxy is a TCP proxy for tests that delays, holds, drops and resets
// the connections that pass through it.
package proxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Proxy forwards connections from its own address to an upstream. It is safe
// for concurrent use.
type Proxy struct {
	addr string

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when rules change
	rules    Rules
	upstream string
	listener net.Listener // nil while connections are refused
	conns    map[*proxiedConn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// Listen starts a proxy on addr; port 0 picks a free port. The upstream may be
// set later; connections are reset as long as there is none.
func Listen(addr, upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{
		addr:     l.Addr().String(),
		changed:  make(chan struct{}),
		upstream: upstream,
		conns:    make(map[*proxiedConn]struct{}),
	}
	p.serve(l)
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// SetUpstream changes where new connections are forwarded to.
func (p *Proxy) SetUpstream(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = addr
}

// Heal forwards everything again, including what was held.
func (p *Proxy) Heal() error { return p.SetRules(Rules{}) }

// Set replaces the rules. It returns an error if the address cannot be
// listened on again after connections were refused.
func (p *Proxy) SetRules(r Rules) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("proxy is closed")
	}
	p.rules = r
	close(p.changed)
	p.changed = make(chan struct{})
	if r.Refuse {
		p.stopListening()
		return nil
	}
	return p.resumeListening()
}

// Reset ends every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopListening()
	for l := range p.conns {
		l.reset()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// stopListening closes the listener. The caller holds mu.
func (p *Proxy) stopListening() {
	if p.listener == nil {
		return
	}
	_ = p.listener.Close() // the accept loop ends with the listener
	p.listener = nil
}

// listenAgain opens the listener if it is closed. The caller holds mu.
func (p *Proxy) resumeListening() error {
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	p.serve(l)
	return nil
}

// serve accepts connections until l is closed.
func (p *Proxy) serve(l net.Listener) {
	p.listener = l
	p.running.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			p.accept(client.(*net.TCPConn))
		}
	})
}

// accept starts the link of an accepted connection.
func (p *Proxy) accept(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := newProxiedConn(p, client, p.upstream)
	if p.closed {
		l.reset()
		return
	}
	p.conns[l] = struct{}{}
	halfOpen := p.rules.HalfOpen
	p.running.Go(func() {
		defer p.remove(l)
		l.run(halfOpen)
	})
}

func (p *Proxy) remove(l *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
}

// current returns the rules and a channel that is closed when they change.
func (p *Proxy) current() (Rules, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules, p.changed
}
