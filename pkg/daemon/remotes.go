package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/peer"
)

// remoteAuthorities provides the router with the budget authorities of other daemons.
type remoteAuthorities struct {
	pool *peer.Pool
}

// Authority implements home.Remotes.
func (r remoteAuthorities) Authority(addr string) home.Authority {
	return r.pool.Client(addr)
}
