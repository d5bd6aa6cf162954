package fleet

import (
	"fmt"
	"net"

	"github.com/peppertrail/peppertrail/pkg/load/proxy"
)

// startProxies starts a proxy in front of the peer listener of every daemon and,
// for each daemon that can be partitioned, one in front of the platform.
func (f *Fleet) startProxies() error {
	if f.options.PartitionableDaemons == 0 {
		return nil
	}
	for i, h := range f.daemons {
		p, err := f.addProxy(h.peerAddr, f.sourceDaemon, func(source int) bool {
			return source >= 0 && f.isPartitioned(source) != f.isPartitioned(i)
		})
		if err != nil {
			return err
		}
		h.advertisedPeerAddr = p.Addr()
		if i < len(f.daemons)-f.options.PartitionableDaemons {
			continue
		}
		p, err = f.addProxy(f.platform.addr(), func(net.Addr) int { return i }, f.isPartitioned)
		if err != nil {
			return err
		}
		h.platformURL = "http://" + p.Addr()
	}
	return nil
}

func (f *Fleet) addProxy(target string, identify func(net.Addr) int, isBlocked func(int) bool) (*proxy.Proxy, error) {
	p, err := proxy.New(target, identify, isBlocked)
	if err != nil {
		return nil, fmt.Errorf("start proxy for %s: %w", target, err)
	}
	f.proxies = append(f.proxies, p)
	return p, nil
}

// isPartitioned reports whether a daemon is currently partitioned from the platform
// and from the other daemons.
func (f *Fleet) isPartitioned(i int) bool {
	return f.partitioned.Load() && i >= len(f.daemons)-f.options.PartitionableDaemons
}

// sourceDaemon returns the index of the daemon that opened a connection, -1 if
// none of them did.
func (f *Fleet) sourceDaemon(source net.Addr) int {
	pids := make([]int, len(f.daemons))
	for i, h := range f.daemons {
		pids[i] = h.pid()
	}
	owner := proxy.ClientPID(source, pids)
	for i, pid := range pids {
		if pid == owner && owner != 0 {
			return i
		}
	}
	return -1
}

// SetPartitioned starts or ends a partition of the last daemons from the platform and
// from the other daemons. Callers and engines stay connected to all daemons.
func (f *Fleet) SetPartitioned(partitioned bool) {
	f.partitioned.Store(partitioned)
	for _, p := range f.proxies {
		p.ApplyBlocks()
	}
}
