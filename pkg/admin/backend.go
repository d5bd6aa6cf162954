// Package admin implements the operators' HTTP API and its client. Every call must
// be signed by an operator of the bundle in force.
package admin

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// ErrUnknownTarget reports that the daemon has no target with the given id.
var ErrUnknownTarget = errors.New("unknown target")

// Backend provides the state that only the daemon itself has. Its methods are called
// concurrently and must not block for long.
type Backend interface {
	// Targets returns the targets as this daemon sees them.
	Targets() []target.Status
	// Drain stops new work on a target and stores the order in the table, from
	// which the other daemons read it. It returns ErrUnknownTarget (wrapped) for
	// an unknown id.
	Drain(ctx context.Context, targetID string) error
	// LiveHolders returns the daemon incarnations that this daemon sees as live
	// and reachable, including its own.
	LiveHolders() []string
	// LocalRepairs returns the repairs that this daemon made, oldest first,
	// including those whose row is not yet in the table.
	LocalRepairs() []RepairEntry
	// Explain returns the decisions of this daemon about a request that it received,
	// oldest first. It returns nothing if another daemon received the request or
	// the daemon no longer keeps its decisions.
	Explain(customer, request string) []telemetry.Step
}

// RepairEntry describes one repair that a daemon made and keeps in memory.
type RepairEntry struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"` // holder, grant, target or request that was repaired
	Text    string    `json:"text"`    // what was found and done
}
