package budget

import "time"

const (
	// minStreamWindow is the least number of streams ahead. Each one is looked
	// up at every target when the holder dies, so that it should not be large.
	minStreamWindow = 512
	// windowReserve allows for a rate that doubles during an outage.
	windowReserve = 2
)

// account is what the ledger holds of one budget.
type account struct {
	grants   map[string]*grant
	spend    rate
	starts   rate  // reservations
	reserved int64 // sum over the grants
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

// pick returns the fullest-used grant that still covers bound, so that grants
// run out one after the other and can be closed.
func (a *account) pick(bound int64) *grant {
	var best *grant
	for _, g := range a.grants {
		if g.available() < bound || !g.issuable() {
			continue
		}
		if best == nil || g.available() < best.available() || (g.available() == best.available() && g.record.ID < best.record.ID) {
			best = g
		}
	}
	return best
}

// window returns how many stream numbers to allow ahead of the last one, so
// that a table outage of the cover's length does not use them up.
func (a *account) window(now time.Time, p Policy) int64 {
	return max(minStreamWindow, int64(windowReserve*a.starts.perSecond(now)*p.Cover.Seconds()))
}

// wanted returns the tokens that the open grants should have available.
func (a *account) wanted(now time.Time, p Policy) int64 {
	covered := int64(a.spend.perSecond(now) * p.Cover.Seconds())
	return max(covered+a.reserved, p.MinTokens)
}
