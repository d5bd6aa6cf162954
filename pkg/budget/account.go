package budget

import "time"

const (
	// minStreamsAhead is the smallest number of stream numbers allowed ahead of
	// the last one issued. It should not be large: when the holder is
	// fenced, each of them is looked up at every target.
	minStreamsAhead = 512
	// streamWindowFactor allows for a reservation rate that doubles during a
	// table outage.
	streamWindowFactor = 2
)

// account is the ledger's state for one budget.
type account struct {
	grants          map[string]*grant // open grants, by grant id
	spendRate       rate              // tokens charged per second
	reservationRate rate              // reservations made per second
	reserved        int64             // tokens reserved from all grants of the budget
}

func newAccount() *account {
	return &account{grants: make(map[string]*grant)}
}

func (a *account) available() int64 {
	var sum int64
	for _, g := range a.grants {
		sum += g.available()
	}
	return sum
}

// selectGrant returns the grant with the fewest available tokens that still
// covers bound, so that grants are used up one after the other and can be
// closed. It returns nil if no grant covers bound.
func (a *account) selectGrant(bound int64) *grant {
	var best *grant
	for _, g := range a.grants {
		if g.available() < bound || !g.canIssueStream() {
			continue
		}
		if best == nil || g.available() < best.available() || (g.available() == best.available() && g.record.ID < best.record.ID) {
			best = g
		}
	}
	return best
}

// streamWindow returns how many stream numbers to allow ahead of the last one
// issued, so that a table outage as long as p.Cover does not use them up.
func (a *account) streamWindow(now time.Time, p Policy) int64 {
	return max(minStreamsAhead, int64(streamWindowFactor*a.reservationRate.perSecond(now)*p.Cover.Seconds()))
}

// wantedTokens returns the tokens that the open grants should cover: the spend
// expected within p.Cover plus the open reservations, at least p.MinTokens.
func (a *account) wantedTokens(now time.Time, p Policy) int64 {
	covered := int64(a.spendRate.perSecond(now) * p.Cover.Seconds())
	return max(covered+a.reserved, p.MinTokens)
}
