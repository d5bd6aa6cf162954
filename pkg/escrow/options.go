package escrow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// reportInterval is the time between two usage reports of a host that
	// spends.
	reportInterval = 400 * time.Millisecond
	// idleReportInterval is the time between two usage reports of a host that
	// does not spend. These reports renew the lease of its shares.
	idleReportInterval = 4 * time.Second
	// minCallInterval is the minimum time between two calls for the same
	// account, and between two usage reports of a process.
	minCallInterval = 30 * time.Millisecond
	// reportWritesFraction is the fraction of the store's write rate for the usage reports
	// of all hosts together, changeWritesFraction that for the account changes of all
	// brokers together.
	reportWritesFraction = 1.0 / 3
	changeWritesFraction = 2.0 / 15
	// defaultWritesPerSecond is the write rate of the store if Options sets none.
	defaultWritesPerSecond = 1500
	// callTimeout is the time limit of one call to the table.
	callTimeout = 1200 * time.Millisecond
	// firstResendDelay and maxResendDelay bound the time between two
	// submissions of a transaction that got no answer.
	firstResendDelay = 60 * time.Millisecond
	maxResendDelay   = 400 * time.Millisecond
	// A reservation waits for the table for one of reserveWaitParts equal parts of the time
	// that its request has left, but at least minReserveWait and at most maxReserveWait.
	reserveWaitParts = 4
	minReserveWait   = 250 * time.Millisecond
	maxReserveWait   = time.Second
	// reportOverdueAfter is how long a report may stay unanswered before
	// requests no longer wait for the table, which normally answers within
	// about 10 ms.
	reportOverdueAfter = 300 * time.Millisecond
	// maxAccountAge is the maximum age of the loaded account when a reservation
	// is refused for lack of tokens. An older account is read again first.
	maxAccountAge = 300 * time.Millisecond
	// reviewInterval is the time between two checks whether the size of a
	// share fits the demand.
	reviewInterval = time.Second
	// feedInterval is the time between two reads of the usage reports of other
	// hosts in a fleet of at most maxDirectHosts hosts.
	feedInterval = time.Second
	// peerShortageTerm is how long this host plans its share with
	// shortageCoverTime after another host announced a shortage.
	peerShortageTerm = 700 * time.Millisecond
	// repeatedShortageTerm is how long this host keeps only what waits here after another
	// host has announced a shortage again. It is two intervals between announcements, so
	// that one may be lost. With peerShortageTerm in its place hosts take their tokens again
	// request by request for longer, and write the account more often.
	repeatedShortageTerm = 2 * announceEveryChecks * returnCheckInterval
	// A reservation that lacks tokens which other hosts hold waits for
	// maxReturnChecks checks of the account, returnCheckInterval apart. Other
	// hosts return tokens during that time. The shortage is announced every
	// announceEveryChecks checks: that time covers the changes of the account by
	// several holders, which conflict with each other. With 3 checks and one
	// announcement, 46 to 56 of 80 requests got tokens that eight hosts held.
	maxReturnChecks     = 6
	announceEveryChecks = 2
	returnCheckInterval = 60 * time.Millisecond
	// shortageReportTerm is how long the usage reports include the shortage of
	// a reservation that got no tokens.
	shortageReportTerm = 3 * time.Second
)

// Options are the settings of a Manager.
type Options struct {
	Rows         storage.Rows
	AccountTable string // table of account rows; the part is the customer
	UsageTable   string // table of usage reports; each host writes to several parts
	HostTable    string // table of host rows, from which the hosts know each other
	// HostRows reads HostTable, perhaps through other hosts. Nil: Rows is used.
	HostRows HostRows
	Host     string // name of this host
	// Incarnation is the unique name of this process.
	Incarnation string
	Addr        string // address at which other hosts reach this one; empty: none
	RequestAddr string // address at which this host takes requests of other hosts; empty: none
	// FailureDomain and LinkMbps are announced to other hosts; empty or 0: unknown.
	FailureDomain string
	LinkMbps      float64 // rate of the host's link in Mbit/s
	// Hosts returns the number of known hosts, including this one.
	Hosts func() int
	// WritesPerSecond is the number of writes per second that the store takes from all
	// hosts together; 0: a default.
	WritesPerSecond float64
	// AnnounceShortage tells other hosts that a request lacks tokens which
	// they hold. holders are the addresses of the hosts with shares, nil if they are not
	// known. repeated means that the request still lacks them after an announcement. It must
	// not block. If it is nil, other hosts learn of the shortage from the next usage report.
	AnnounceShortage func(customer string, holders []string, repeated bool)
	// RequestShare sends a share request to the host at an address, which
	// calls Manager.ChangeShare. An error that is storage.ErrNotApplied means
	// that nothing was changed. If RequestShare is nil, every host changes the
	// accounts itself.
	RequestShare func(ctx context.Context, addr string, request ShareRequest) (ShareReply, error)
	// RequestReservation sends a request for a reservation to the host at an address, which
	// calls Manager.ReserveFor. An error that is storage.ErrNotApplied means that nothing
	// was reserved. If RequestReservation is nil, a host spends only from its own shares.
	// SendSettlements sends settlements of such reservations, for Manager.SettleFor.
	RequestReservation func(ctx context.Context, addr string, request ReserveRequest) (ReserveReply, error)
	SendSettlements    func(ctx context.Context, addr string, request SettleRequest) error
	// TellReport tells a usage report to the host at an address, which calls
	// Manager.RecordReport. Nil: reports are not told, and a share of a process that dies
	// while the store returns from an older copy may be lost.
	TellReport func(ctx context.Context, addr string, report UsageReport) error
	// Recall asks the host at an address what it knows of an account, by Manager.Recall. Nil:
	// no other host is asked when an account is recovered.
	Recall func(ctx context.Context, addr string, request RecallRequest) (RecallReply, error)
	// Notes returns what the row of this host tells all hosts, nil for nothing. ReceiveNotes is
	// called with the notes in a row that was read, and the age of the row. Rows outlast their
	// processes, so that a fleet that starts anew learns what the one before knew. They must
	// not block. Nil: nothing is told.
	Notes        func() json.RawMessage
	ReceiveNotes func(notes json.RawMessage, age time.Duration)
	// CountWrittenOff counts tokens that are counted as spent by an ended process
	// beyond its last report. It must not block. Nil: they are not counted.
	CountWrittenOff func(cause WriteOffCause, tokens int64)
	// Clock is a monotonic clock that also counts while the machine is
	// suspended. Nil: the system's boot-time clock.
	Clock func() time.Duration
	// Log receives the log lines of the package.
	Log *log.Logger
}

// WriteOffCause is what allowed an ended process to spend tokens that its last report
// does not count as used.
type WriteOffCause string

// The causes for which tokens are written off.
const (
	WriteOffHeadroom WriteOffCause = "headroom"      // up to the ceiling of the report
	WriteOffRisen    WriteOffCause = "rising_limit"  // above the ceiling, as the limit rises
	WriteOffUnlisted WriteOffCause = "not_in_report" // all of a share that the report does not list
	// WriteOffReturn are tokens that hosts may have got in what the store lost when it
	// returned from an older copy, and of which no host is left that knows.
	WriteOffReturn WriteOffCause = "store_return"
)
