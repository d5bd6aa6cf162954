package admin

import "github.com/peppertrail/peppertrail/pkg/lease"

// HolderStatus contains the holder row of a daemon incarnation and whether the
// answering daemon sees the incarnation as live and reachable.
type HolderStatus struct {
	lease.HolderRecord
	Live bool `json:"live"`
}

// Active reports whether the incarnation is neither fenced nor stopped.
func (h HolderStatus) Active() bool { return !h.Fenced && !h.Stopped }
