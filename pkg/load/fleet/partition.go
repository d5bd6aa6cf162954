package fleet

import (
	"fmt"
	"net"

	"github.com/peppertrail/peppertrail/pkg/load/proxy"
)

// startProxies puts a proxy before the platform for each daemon that can be cut
// off and one before the peer listener of every daemon.
func (f *Fleet) startProxies() error {
	if f.options.Cut == 0 {
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
		if i < len(f.daemons)-f.options.Cut {
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

func (f *Fleet) addProxy(target string, identify func(net.Addr) int, isCut func(int) bool) (*proxy.Proxy, error) {
	p, err := proxy.New(target, identify, isCut)
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	f.proxies = append(f.proxies, p)
	return p, nil
}

// separated reports whether a daemon is now on the side without the platform.
func (f *Fleet) isPartitioned(i int) bool {
	return f.partitioned.Load() && i >= len(f.daemons)-f.options.Cut
}

// sourceDaemon returns which daemon opened a connection, -1 for none.
func (f *Fleet) sourceDaemon(source net.Addr) int {
	pids := make([]int, len(f.daemons))
	for i, h := range f.daemons {
		pids[i] = h.pid()
	}
	owner := proxy.Owner(source, pids)
	for i, pid := range pids {
		if pid == owner && owner != 0 {
			return i
		}
	}
	return -1
}

// Partition cuts the last daemons off from the platform and from the other
// daemons, or ends that. Callers and engines stay connected.
func (f *Fleet) Partition(cut bool) {
	f.partitioned.Store(cut)
	for _, p := range f.proxies {
		p.Update()
	}
}
