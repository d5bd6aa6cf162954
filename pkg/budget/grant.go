package budget

import "time"

// grant is an open grant of this daemon.
type grant struct {
	record       GrantRecord
	reserved     int64 // tokens of running attempts
	pending      int64 // tokens settled whose line is not durable yet
	next         int64 // number of the next stream id
	reservations int
	lastUse      time.Time
}

// available returns the tokens that may still be reserved.
func (g *grant) available() int64 {
	return g.record.Amount - g.record.Used - g.record.WrittenOff - g.pending - g.reserved
}

// issuable reports whether the durable row allows a further stream number.
func (g *grant) issuable() bool {
	return g.next < g.record.Streams
}

// idle reports whether nothing runs on the grant and every line is durable.
func (g *grant) idle() bool {
	return g.reservations == 0 && g.pending == 0
}
