package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/peer"
)

// remotes gives the router the authorities of other daemons.
type remotes struct {
	pool *peer.Pool
}

// Authority implements home.Remotes.
func (r remotes) Authority(addr string) home.Authority {
	return r.pool.Client(addr)
}
