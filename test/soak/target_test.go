package soak

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/peppertrail/peppertrail/pkg/load/proxy"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// targetProxy is a target behind a proxy that can simulate a network partition.
type targetProxy struct {
	*replica.Replica
	proxy *proxy.Proxy

	partitioned atomic.Bool
	leaves      bool // the target has said that it leaves, since its last start; used by one goroutine only
}

func newTargetProxy(r *replica.Replica) (*targetProxy, error) {
	p := &targetProxy{Replica: r}
	var err error
	p.proxy, err = proxy.New(r.Addr(), func(net.Addr) int { return 0 }, func(int) bool { return p.partitioned.Load() })
	if err != nil {
		return nil, fmt.Errorf("start proxy to target %s: %w", r.ID, err)
	}
	return p, nil
}

func (p *targetProxy) setPartitioned(partitioned bool) {
	p.partitioned.Store(partitioned)
	p.proxy.ApplyBlocks()
}
