package ingress

import (
	"net"

	"github.com/peppertrail/peppertrail/pkg/callermem"
)

// CountMemory makes the listener count the memory of connections and of heads of requests in an
// account, and refuse heads for which it has none. It must be called before Accept.
func (l *Listener) CountMemory(a *callermem.Account) { l.memory = a }

// countMemory counts the memory of a new connection.
func (l *Listener) countMemory(c *Conn) {
	if l.memory == nil {
		return
	}
	address := ""
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.IP.String()
	}
	c.head.memory = l.memory.Connect(address)
}

// forget removes a connection that is closed or no longer the server's. The caller holds the
// mutex.
func (l *Listener) forget(c *Conn) {
	delete(l.conns, c)
	if c.head.memory != nil {
		c.head.memory.Close()
	}
}
