package budget

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Errors of the ledger.
var (
	// ErrUnknownStream means that no open reservation has this stream id.
	ErrUnknownStream = errors.New("unknown stream")
	// ErrUnknownGrant means that the grant is not open in this ledger.
	ErrUnknownGrant = errors.New("unknown grant")
)

// Reservation is the maximum cost of one attempt, reserved from a grant.
type Reservation struct {
	Budget string
	Grant  string
	Stream string // "<grant>.<n>"
	Bound  int64  // maximum cost of the attempt, tokens
}

// Ledger authorizes spending from the open grants of one daemon.
//
// It is not safe for concurrent use; one goroutine owns it.
type Ledger struct {
	accounts     map[string]*account    // by budget id
	grants       map[string]*grant      // open grants, by grant id
	reservations map[string]Reservation // open reservations, by stream id
}

// NewLedger returns a ledger without open grants.
func NewLedger() *Ledger {
	return &Ledger{
		accounts:     make(map[string]*account),
		grants:       make(map[string]*grant),
		reservations: make(map[string]Reservation),
	}
}

// Reserve reserves bound tokens from one open grant of the budget. It returns
// false if no single grant covers the bound and allows another stream number.
func (l *Ledger) Reserve(now time.Time, budget string, bound int64) (Reservation, bool) {
	acct := l.account(budget)
	g := acct.selectGrant(bound)
	if g == nil {
		return Reservation{}, false
	}
	r := Reservation{
		Budget: budget,
		Grant:  g.record.ID,
		Stream: StreamID(g.record.ID, g.nextStream),
		Bound:  bound,
	}
	g.nextStream++
	acct.reservationRate.add(now, 1)
	g.reserved += bound
	g.reservations++
	g.lastUse = now
	acct.reserved += bound
	l.reservations[r.Stream] = r
	return r, true
}

// Settle replaces the bound of a reservation by the tokens used. Tokens above
// the bound are not charged, since only the bound was reserved from the grant.
// It returns the tokens charged, which are pending until MarkDurable is called.
func (l *Ledger) Settle(now time.Time, stream string, tokens int64) (int64, error) {
	r, ok := l.reservations[stream]
	if !ok {
		return 0, fmt.Errorf("settle %s: %w", stream, ErrUnknownStream)
	}
	delete(l.reservations, stream)
	charged := min(max(tokens, 0), r.Bound)
	g := l.grants[r.Grant]
	g.reserved -= r.Bound
	g.reservations--
	g.pending += charged
	g.lastUse = now
	acct := l.account(r.Budget)
	acct.reserved -= r.Bound
	acct.spendRate.add(now, charged)
	return charged, nil
}

// Reservation returns the open reservation of a stream.
func (l *Ledger) Reservation(stream string) (Reservation, bool) {
	r, ok := l.reservations[stream]
	return r, ok
}

// MarkDurable records that the bill line of a stream is durable: it moves the
// tokens from the pending to the used tokens of the grant and marks the stream
// as settled.
func (l *Ledger) MarkDurable(stream string, tokens int64) error {
	g, ok := l.grants[GrantOfStream(stream)]
	if !ok {
		return fmt.Errorf("mark %s durable: %w", stream, ErrUnknownGrant)
	}
	g.pending -= tokens
	g.record.Used += tokens
	g.record.Settled = g.record.Settled.Add(StreamNumber(stream))
	return nil
}

// MarkUndispatched marks a stream as settled because no target received it.
func (l *Ledger) MarkUndispatched(stream string) {
	if g, ok := l.grants[GrantOfStream(stream)]; ok {
		g.record.Settled = g.record.Settled.Add(StreamNumber(stream))
	}
}

// StreamWindow returns how many stream numbers a new grant of the budget allows.
func (l *Ledger) StreamWindow(now time.Time, budget string, p Policy) int64 {
	return l.account(budget).streamWindow(now, p)
}

// NextStreamLimit returns the limit of stream numbers to write to the row of a grant, 0
// if the grant is not open. The limit never decreases.
func (l *Ledger) NextStreamLimit(now time.Time, grantID string, p Policy) int64 {
	g, ok := l.grants[grantID]
	if !ok {
		return 0
	}
	return max(g.record.Streams, g.nextStream+l.account(g.record.Budget).streamWindow(now, p))
}

// RaiseStreamLimit raises the limit of stream numbers of a grant. It must be called only
// after the new limit is durable.
func (l *Ledger) RaiseStreamLimit(grantID string, streams int64) {
	if g, ok := l.grants[grantID]; ok {
		g.record.Streams = max(g.record.Streams, streams)
	}
}

// Open adds a grant whose debit from the budget is durable.
func (l *Ledger) Open(now time.Time, record GrantRecord) {
	g := &grant{record: record, lastUse: now}
	l.grants[record.ID] = g
	l.account(record.Budget).grants[record.ID] = g
}

// Demand returns how many tokens another grant should have, 0 if the open
// grants are sufficient. need is the bound of a waiting request, 0 for none.
func (l *Ledger) Demand(now time.Time, budget string, p Policy, need int64) int64 {
	acct := l.account(budget)
	wantedTokens := acct.wantedTokens(now, p)
	available := acct.available()
	if need > 0 && acct.selectGrant(need) == nil {
		return max(wantedTokens-available, need)
	}
	if float64(available) >= refillThreshold*float64(wantedTokens) {
		return 0
	}
	return wantedTokens - available
}

// Available returns the tokens of a budget that may still be reserved.
func (l *Ledger) Available(budget string) int64 {
	acct, ok := l.accounts[budget]
	if !ok {
		return 0
	}
	return acct.available()
}

// Record returns the row of an open grant with the values that the ledger has
// now. The row in the table may be older.
func (l *Ledger) Record(grantID string) (GrantRecord, bool) {
	g, ok := l.grants[grantID]
	if !ok {
		return GrantRecord{}, false
	}
	return g.record, true
}

// Closable returns the idle grants, in order of id, that have fewer than
// minAvailable tokens available or that were last used at least the
// duration idle ago.
func (l *Ledger) Closable(now time.Time, idle time.Duration, minAvailable int64) []string {
	var ids []string
	for id, g := range l.grants {
		if !g.idle() {
			continue
		}
		if g.available() < minAvailable || now.Sub(g.lastUse) >= idle {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// IdleGrants returns, in order of id, all idle grants, for a graceful stop.
func (l *Ledger) IdleGrants() []string {
	var ids []string
	for id, g := range l.grants {
		if g.idle() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Idle reports whether a grant is open, has no open reservation and all its
// bill lines are durable.
func (l *Ledger) Idle(grantID string) bool {
	g, ok := l.grants[grantID]
	return ok && g.idle()
}

// Remove removes a grant from the ledger. It is called before the row of the
// grant is written with state GrantClosed, so that nothing more is reserved from
// the grant.
func (l *Ledger) Remove(grantID string) (GrantRecord, error) {
	g, ok := l.grants[grantID]
	if !ok {
		return GrantRecord{}, fmt.Errorf("remove %s: %w", grantID, ErrUnknownGrant)
	}
	delete(l.grants, grantID)
	delete(l.account(g.record.Budget).grants, grantID)
	return g.record, nil
}

// OpenGrants returns the number of open grants.
func (l *Ledger) OpenGrants() int {
	return len(l.grants)
}

// OpenReservations returns the number of open reservations.
func (l *Ledger) OpenReservations() int {
	return len(l.reservations)
}

func (l *Ledger) account(budget string) *account {
	acct, ok := l.accounts[budget]
	if !ok {
		acct = newAccount()
		l.accounts[budget] = acct
	}
	return acct
}

// GrantsOf returns the open grants of a budget in order of id.
func (l *Ledger) GrantsOf(budget string) []string {
	acct, ok := l.accounts[budget]
	if !ok {
		return nil
	}
	ids := make([]string, 0, len(acct.grants))
	for id := range acct.grants {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// OpenReservationsOn returns the number of open reservations on a budget.
func (l *Ledger) OpenReservationsOn(budget string) int {
	acct, ok := l.accounts[budget]
	if !ok {
		return 0
	}
	n := 0
	for _, g := range acct.grants {
		n += g.reservations
	}
	return n
}

// StreamID returns the id of the stream with number n of a grant.
func StreamID(grantID string, n int64) string {
	return grantID + "." + strconv.FormatInt(n, 10)
}

// StreamNumber returns the stream number in a stream id, -1 if it has none.
func StreamNumber(stream string) int64 {
	n, err := strconv.ParseInt(stream[strings.LastIndexByte(stream, '.')+1:], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// GrantOfStream returns the grant id in a stream id, "" if it has none.
func GrantOfStream(stream string) string {
	i := strings.LastIndexByte(stream, '.')
	if i < 0 {
		return ""
	}
	return stream[:i]
}

// GrantID returns the id of the grant with number n of a holder.
func GrantID(holder string, n uint64) string {
	return holder + "-" + strconv.FormatUint(n, 10)
}

// HolderOfGrant returns the holder id in a grant id, "" if it has none.
func HolderOfGrant(grantID string) string {
	i := strings.LastIndexByte(grantID, '-')
	if i < 0 {
		return ""
	}
	return grantID[:i]
}
