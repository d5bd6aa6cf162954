// Package proxy is a TCP proxy for tests. It can delay or hold back data, drop
// replies, and refuse or reset connections.
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
	changed  chan struct{} // closed and replaced when the rules change
	rules    Rules
	upstream string
	listener net.Listener // nil while connections are refused
	conns    map[*proxiedConn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// Listen starts a proxy on addr. Port 0 selects a free port. The upstream may be
// set later; until then connections are reset.
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

// SetUpstream sets the address that new connections are forwarded to.
func (p *Proxy) SetUpstream(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = addr
}

// Heal removes all faults. Data that was held back is then delivered.
func (p *Proxy) Heal() error { return p.SetRules(Rules{}) }

// SetRules replaces the rules. It returns an error if the proxy is closed, or if
// it cannot listen on its address again after it refused connections.
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

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.reset()
	}
}

// Close closes the proxy and its connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopListening()
	for pc := range p.conns {
		pc.reset()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// stopListening closes the listener. The caller must hold mu.
func (p *Proxy) stopListening() {
	if p.listener == nil {
		return
	}
	_ = p.listener.Close() // the accept loop ends when the listener is closed
	p.listener = nil
}

// resumeListening opens the listener if it is closed. The caller must hold mu.
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

// accept starts forwarding for an accepted connection.
func (p *Proxy) accept(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := newProxiedConn(p, client, p.upstream)
	if p.closed {
		pc.reset()
		return
	}
	p.conns[pc] = struct{}{}
	halfOpen := p.rules.HalfOpen
	p.running.Go(func() {
		defer p.remove(pc)
		pc.run(halfOpen)
	})
}

func (p *Proxy) remove(pc *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, pc)
}

// current returns the rules and a channel that is closed when they change.
func (p *Proxy) current() (Rules, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules, p.changed
}
