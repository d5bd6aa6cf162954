package forward

import (
	"sync"
	"time"
)

// unreadLogInterval is the shortest time between two log lines about abandoned responses.
const unreadLogInterval = 5 * time.Second

// unreadResponses counts abandoned responses for the log.
type unreadResponses struct {
	mu       sync.Mutex
	loggedAt time.Time
	unlogged int // since the last line
}

// add counts one more. It returns how many a line is to report, 0 if none is due.
func (u *unreadResponses) add(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unlogged++
	if now.Sub(u.loggedAt) < unreadLogInterval {
		return 0
	}
	n := u.unlogged
	u.loggedAt, u.unlogged = now, 0
	return n
}

// recordUnread records that the response was abandoned because the caller does not read it.
func (c *call) recordUnread(needed NeededResource) {
	c.notRead = true
	c.h.Observer.ResponseAbandoned(needed)
	if n := c.h.unread.add(time.Now()); n > 0 {
		c.h.Log.Warn().Str("request", c.id).Str("needed", string(needed)).Int("times", n).Msg("Responses were abandoned, as their callers do not read and others need what they hold.")
	}
}
