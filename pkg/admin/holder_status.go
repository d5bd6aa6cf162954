package admin

import "github.com/peppertrail/peppertrail/pkg/lease"

// HolderStatus is the holder row of a daemon incarnation and whether the
// answering daemon sees it as live.
type HolderStatus struct {
	lease.HolderRecord
	Live bool `json:"live"`
}

// Active reports whether the incarnation may still serve.
func (h HolderStatus) Active() bool { return !h.Fenced && !h.Stopped }
