package callermem

import (
	"sync"
	"time"
)

// Connection is the memory of a connection and of the head that is read from it or whose
// request is open. It is safe for concurrent use.
type Connection struct {
	account *Account
	mu      sync.Mutex
	head    holder
	closed  bool
}

// Connect counts a new connection from a client address. Connections have a limit elsewhere
// and are not refused.
func (a *Account) Connect(address string) *Connection {
	a.Add(Connections, ConnectionBytes)
	return &Connection{account: a, head: holder{kind: Heads, address: address}}
}

// ResizeHead counts the memory of the head. It returns an *Error if the connection may not
// use that much. After Close it does nothing.
func (c *Connection) ResizeHead(size int64, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || size == c.head.bytes {
		return nil
	}
	return c.account.resize(&c.head, size, now)
}

// Close ends the counting.
func (c *Connection) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	_ = c.account.resize(&c.head, 0, time.Time{}) // less is never refused
	c.account.Add(Connections, -ConnectionBytes)
}
