package peer

import "sync"

// Pool keeps one client per address. It is safe for concurrent use.
type Pool struct {
	opt Options

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool whose clients use opt.
func NewPool(opt Options) *Pool {
	return &Pool{opt: opt, clients: map[string]*Client{}}
}

// Client returns the client of the daemon at addr. It creates one if needed.
func (p *Pool) Client(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[addr]
	if !ok {
		client = NewClient(addr, p.opt)
		p.clients[addr] = client
	}
	return client
}

// Retain closes and removes the clients of all addresses that are not in addrs.
// Pending calls of these clients fail.
func (p *Pool) Retain(addrs []string) {
	keep := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		keep[addr] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, client := range p.clients {
		if !keep[addr] {
			client.Close()
			delete(p.clients, addr)
		}
	}
}

// Close closes all clients.
func (p *Pool) Close() {
	p.Retain(nil)
}
