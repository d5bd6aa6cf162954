package forward

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// NeededResource is what other requests need of a response that its caller does not read. It is
// a label of the metrics.
type NeededResource string

// Needed resources.
const (
	NeedMemory      NeededResource = "memory"      // the memory for callers is scarce
	NeedSlots       NeededResource = "slots"       // the target has no slot left
	NeedConnections NeededResource = "connections" // this host may open no further connection to the target
)

// NeededResources returns every resource, so that a counter can be registered for each.
func NeededResources() []NeededResource {
	return []NeededResource{NeedMemory, NeedSlots, NeedConnections}
}

// memoryNeeded returns NeedMemory while memory is scarce, and "" otherwise.
func (h *Handler) memoryNeeded() NeededResource {
	if h.CallerMemory.Scarce() {
		return NeedMemory
	}
	return ""
}

// neededOf returns a function that tells which resource of an open stream other requests need, ""
// if none. a is nil if another host has forwarded the stream.
func (c *call) neededOf(a *balance.Attempt) func() NeededResource {
	if a == nil {
		return c.h.memoryNeeded
	}
	limit := c.targetConnectionLimit()
	return func() NeededResource {
		switch {
		case c.h.CallerMemory.Scarce():
			return NeedMemory
		case a.SlotsTaken(time.Now()):
			return NeedSlots
		case limit > 0 && !c.h.Client.Available(a.Target.Addr, limit):
			return NeedConnections
		}
		return ""
	}
}
