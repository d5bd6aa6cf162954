// Package admin is the operators' HTTP API and its client. Every call is
// signed by an operator of the bundle in force.
package admin

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// ErrUnknownTarget means that the daemon does not know a target.
var ErrUnknownTarget = errors.New("unknown target")

// Backend is what only the daemon knows. Its methods are called from many
// goroutines and must not block for long.
type Backend interface {
	// Targets returns the targets as this daemon sees them.
	Targets() []target.Status
	// Drain stops new work on a target and passes the order on to the other
	// daemons. It returns ErrUnknownTarget (wrapped) for an unknown id.
	Drain(ctx context.Context, targetID string) error
	// LiveHolders returns the daemon incarnations that this daemon sees as live.
	LiveHolders() []string
	// Journal returns the repairs that this daemon made, oldest first,
	// including those whose row is not yet in the table.
	Journal() []JournalEntry
	// Explain returns what this daemon decided about a request that it received,
	// oldest first; nothing if the request came to another daemon or long ago.
	Explain(customer, request string) []telemetry.Step
}

// JournalEntry is one repair by this daemon.
type JournalEntry struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"` // holder, grant, target or request that was repaired
	Text    string    `json:"text"`    // what was found and done
}
