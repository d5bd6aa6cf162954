// Package proxy forwards TCP connections of a measured fleet and can block them to
// simulate network partitions.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	listener  net.Listener
	target    string
	identify  func(source net.Addr) int
	isBlocked func(source int) bool

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// connection is a client connection with its connection to the target.
type connection struct {
	client net.Conn
	server net.Conn
	source int

	mu        sync.Mutex
	unblocked *sync.Cond
	blocked   bool
	closed    bool
}

// New listens on a free loopback port and forwards to target. identify maps the
// address of a client to a source number. isBlocked reports whether connections from
// a source are blocked; it is called for each new connection and by ApplyBlocks.
func New(target string, identify func(source net.Addr) int, isBlocked func(source int) bool) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, identify: identify, isBlocked: isBlocked, connections: make(map[*connection]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the proxy accepts no more connections even if this fails
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close()
	}
}

// ApplyBlocks calls isBlocked again for each connection. A blocked connection stays
// open but forwards nothing, as in a network that drops packets. When the block ends,
// the proxy closes the connection and does not deliver the data sent during the block.
func (p *Proxy) ApplyBlocks() {
	p.mu.Lock()
	connections := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		connections = append(connections, c)
	}
	p.mu.Unlock()
	for _, c := range connections {
		if p.isBlocked(c.source) {
			c.block()
		} else {
			c.closeIfBlocked()
		}
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	source := p.identify(client.RemoteAddr())
	c := &connection{client: client, source: source, blocked: p.isBlocked(source)}
	c.unblocked = sync.NewCond(&c.mu)
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	var copyErr error // of the direction that ended first
	defer func() {
		if errors.Is(copyErr, syscall.ECONNRESET) {
			c.reset()
		}
		c.close()
		p.mu.Lock()
		delete(p.connections, c)
		p.mu.Unlock()
	}()
	if !c.waitUnblocked() {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	done := make(chan error, 2)
	for _, direction := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, err := io.Copy(blockingWriter{c, direction[1]}, direction[0])
			done <- err
		}()
	}
	copyErr = <-done // the end of either direction closes both connections
}

// blockingWriter writes to one side of a connection and waits while the
// connection is blocked.
type blockingWriter struct {
	conn *connection
	to   io.Writer
}

// Write implements io.Writer.
func (g blockingWriter) Write(data []byte) (int, error) {
	if !g.conn.waitUnblocked() {
		return 0, net.ErrClosed
	}
	return g.to.Write(data)
}

// waitUnblocked waits while the connection is blocked. It returns false once the
// connection is closed.
func (c *connection) waitUnblocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.blocked && !c.closed {
		c.unblocked.Wait()
	}
	return !c.closed
}

func (c *connection) block() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
}

func (c *connection) closeIfBlocked() {
	c.mu.Lock()
	blocked := c.blocked
	c.mu.Unlock()
	if blocked {
		c.reset()
	}
}

// reset closes both connections with a reset: their ends must not look orderly.
func (c *connection) reset() {
	c.mu.Lock()
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
	}
	c.mu.Unlock()
	c.close()
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.unblocked.Broadcast()
	_ = c.client.Close() // closing twice is harmless
	if c.server != nil {
		_ = c.server.Close()
	}
}
