package soak

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/peppertrail/peppertrail/pkg/load/proxy"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// link is the way to a target, which may go silent.
type link struct {
	*replica.Replica
	proxy *proxy.Proxy

	silent atomic.Bool
}

func newLink(r *replica.Replica) (*link, error) {
	l := &link{Replica: r}
	var err error
	l.proxy, err = proxy.New(r.Addr(), func(net.Addr) int { return 0 }, func(int) bool { return l.silent.Load() })
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", r.ID, err)
	}
	return l, nil
}

func (l *link) setSilent(silent bool) {
	l.silent.Store(silent)
	l.proxy.Update()
}
