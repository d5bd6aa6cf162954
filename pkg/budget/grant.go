package budget

import "time"

// grant is an open grant held by this daemon.
type grant struct {
	record       GrantRecord
	reserved     int64 // sum of the bounds of the open reservations, tokens
	pending      int64 // tokens settled whose bill line is not durable yet
	nextStream   int64 // number in the next stream id
	reservations int   // number of open reservations
	lastUse      time.Time
}

// available returns the tokens that may still be reserved.
func (g *grant) available() int64 {
	return g.record.Amount - g.record.Used - g.record.WrittenOff - g.pending - g.reserved
}

// canIssueStream reports whether the durable row allows another stream number.
func (g *grant) canIssueStream() bool {
	return g.nextStream < g.record.Streams
}

// idle reports whether the grant has no open reservation and every bill line
// settled from it is durable.
func (g *grant) idle() bool {
	return g.reservations == 0 && g.pending == 0
}
