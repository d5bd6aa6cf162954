package escrow

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// reportInterval is the time between two reports of a host that spends.
	reportInterval = 400 * time.Millisecond
	// idleReportInterval is the time between two reports of a host that does not. It
	// keeps the lease of its shares.
	idleReportInterval = 4 * time.Second
	// minCallInterval is the shortest time between two calls of one kind.
	minCallInterval = 30 * time.Millisecond
	// reportsPerSecond is what all hosts together write at most, and
	// changesPerSecond all brokers. The store takes at least 800 calls a second.
	reportsPerSecond = 500
	changesPerSecond = 200
	// callTimeout bounds one call.
	callTimeout = 1200 * time.Millisecond
	// Pauses between the submissions of a transaction without an answer.
	firstResendDelay = 60 * time.Millisecond
	maxResendDelay   = 400 * time.Millisecond
	// maxReserveWait is the longest wait of a reservation for the table.
	maxReserveWait = 250 * time.Millisecond
	// reportOverdueAfter is how long a report may be without an answer before requests no
	// longer wait for the table. It answers in some 10 ms.
	reportOverdueAfter = 300 * time.Millisecond
	// maxAccountAge is the age up to which the account as last seen is planned with
	// when a request lacks tokens.
	maxAccountAge = 300 * time.Millisecond
	// reviewInterval is the time between two looks at whether a share fits.
	reviewInterval = time.Second
	// feedInterval is the time between two reads of the other hosts' reports.
	feedInterval = time.Second
	// peerShortageTerm is how long the word of another host's lack makes this one hold
	// only what it needs at once.
	peerShortageTerm = 700 * time.Millisecond
	// A request that lacks tokens that others hold waits for maxReturnChecks looks at the
	// account, askPause apart: the time in which others give back.
	maxReturnChecks     = 3
	returnCheckInterval = 60 * time.Millisecond
	// shortageReportTerm is how long a request that got no tokens counts as lacking them.
	shortageReportTerm = 3 * time.Second
)

// Options are the settings of a Keeper.
type Options struct {
	Rows         storage.Rows
	AccountTable string // account rows; the part is the customer
	UsageTable   string // usage rows; some parts for each host
	Host         string
	// Incarnation is unique to this process.
	Incarnation string
	Addr        string // for datagrams of other hosts; empty: none
	// Hosts returns how many hosts there are, as far as known.
	Hosts func() int
	// Announce is called when a request lacks tokens that other hosts hold. It
	// must not block. Nil: other hosts read of it in the next report.
	Announce func(customer string)
	// Ask asks the host at an address to change a share (Keeper.ChangeShare). An
	// error that is storage.ErrNotApplied says that nothing was done. Nil: every
	// host changes the accounts itself.
	Ask func(ctx context.Context, addr string, ask ShareAsk) (ShareAnswer, error)
	// Clock is a steady clock that also counts while the machine is suspended;
	// nil: the one of the system.
	Clock func() time.Duration
	Log   *log.Logger
}
