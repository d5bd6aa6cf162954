package escrow

import (
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// reportInterval is the time between two reports of a customer that spends.
	reportInterval = time.Second
	// idleInterval is the time between two reports of a customer that does not.
	// It keeps the lease of its holding.
	idleInterval = 4 * time.Second
	// minGap is the shortest time between two reports of a customer.
	minGap = 30 * time.Millisecond
	// callTimeout bounds one transaction.
	callTimeout = 1200 * time.Millisecond
	// Pauses between the submissions of a report without an answer.
	firstResend = 60 * time.Millisecond
	maxResend   = 400 * time.Millisecond
	// reserveWait is the longest wait of a reservation for its report.
	reserveWait = 250 * time.Millisecond
	// freshView is the age up to which the account as last seen decides that a
	// budget is exhausted.
	freshView = 2 * time.Second
)

// Options are the settings of a Keeper.
type Options struct {
	Rows  storage.Rows
	Table string // of the account rows
	Host  string
	// Incarnation is unique to this process.
	Incarnation string
	// Hosts returns how many hosts there are, as far as known.
	Hosts func() int
	// Clock is a steady clock that also counts while the machine is suspended;
	// nil: the one of the system.
	Clock func() time.Duration
	Log   *log.Logger
}
