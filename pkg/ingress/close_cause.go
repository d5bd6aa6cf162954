package ingress

import (
	"net/http"
	"time"
)

// incompleteHeadTimeout is how long a connection may take for its first head before it may be
// closed to make room. A head of 4 KB takes 3.2 s at 10 kbit/s.
const incompleteHeadTimeout = 4 * time.Second

// CloseCause is why a connection was closed to make room. It is a label of the metrics.
type CloseCause string

// Causes, in the order in which connections are closed.
const (
	Silent         CloseCause = "silent"          // nothing was received
	IncompleteHead CloseCause = "incomplete_head" // its first head is not complete
	Idle           CloseCause = "idle"            // it has served a request and waits for the next one
	OverLimit      CloseCause = "over_limit"      // it was new, and no other could be closed
)

// CloseCauses returns every cause, so that a counter can be registered for each.
func CloseCauses() []CloseCause { return []CloseCause{Silent, IncompleteHead, Idle, OverLimit} }

// closeRanks gives the order in which connections are closed.
var closeRanks = map[CloseCause]int{Silent: 0, IncompleteHead: 1, Idle: 2}

// closeCause returns the cause for which the connection may be closed to make room, "" if a
// request may be lost by that. The caller holds the listener's mutex.
func (c *Conn) closeCause(now time.Time) CloseCause {
	switch {
	case c.state == http.StateNew && c.received.Load():
		if now.Sub(c.changed) < incompleteHeadTimeout || c.unread() == unreadBytes {
			return ""
		}
		return IncompleteHead
	case !c.mayBeClosed(now):
		return ""
	case c.state == http.StateIdle:
		return Idle
	}
	return Silent
}

// closeLeastUseful closes the least useful connection, of several such the one that has not
// changed for the longest time, if any may be closed. Bodies that make no progress are
// refused at the same time, so that their connections end. The caller holds the mutex.
func (l *Listener) closeLeastUseful(now time.Time) {
	var least *Conn
	var leastCause CloseCause
	for c := range l.conns {
		if least != nil && !c.changed.Before(least.changed) && leastCause == Silent {
			continue // cannot be less useful
		}
		cause := c.closeCause(now)
		if cause == "" {
			continue
		}
		if least == nil || closeRanks[cause] < closeRanks[leastCause] || cause == leastCause && c.changed.Before(least.changed) {
			least, leastCause = c, cause
		}
	}
	if least != nil {
		l.countClosed(leastCause)
		l.closeConn(least)
	}
	if l.memory != nil {
		l.memory.ExpireSlow(now)
	}
}

// CountClosed sets the function that counts connections which are closed because of the limit.
// It must be called before Accept.
func (l *Listener) CountClosed(count func(CloseCause)) { l.closed = count }

func (l *Listener) countClosed(cause CloseCause) {
	if l.closed != nil {
		l.closed(cause)
	}
}
