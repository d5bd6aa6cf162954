package proxy

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to an upstream on loopback.
	dialTimeout = 2 * time.Second
	// bufferBytes is the largest piece of data that is forwarded at once.
	bufferBytes = 32 << 10
)

// link is one accepted connection and its connection to the upstream.
type proxiedConn struct {
	proxy    *Proxy
	client   *net.TCPConn
	upstream string

	mu     sync.Mutex
	server *net.TCPConn // nil until dialled
	ended  chan struct{}
	once   sync.Once
}

func newProxiedConn(p *Proxy, client *net.TCPConn, upstream string) *proxiedConn {
	return &proxiedConn{proxy: p, client: client, upstream: upstream, ended: make(chan struct{})}
}

// reset ends both connections with a TCP reset.
func (l *proxiedConn) reset() {
	l.once.Do(func() {
		close(l.ended)
		abort(l.client)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.server != nil {
			abort(l.server)
		}
	})
}

// abort closes a connection without delivering what is still buffered.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// run forwards both directions until both have ended.
func (l *proxiedConn) run(halfOpen bool) {
	defer l.reset()
	if halfOpen {
		l.holdHalfOpen()
		return
	}
	// A partition also holds the connection attempt.
	if !l.waitWhile(func(r Rules) bool { return r.CutUpstream }) || !l.dial() {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { l.copyData(l.client, l.server, true) })
	pumps.Go(func() { l.copyData(l.server, l.client, false) })
	pumps.Wait()
}

// holdHalfOpen keeps the connection without forwarding anything until the rule ends.
func (l *proxiedConn) holdHalfOpen() {
	l.waitWhile(func(r Rules) bool { return r.HalfOpen })
}

// dial connects to the upstream.
func (l *proxiedConn) dial() bool {
	c, err := net.DialTimeout("tcp", l.upstream, dialTimeout)
	if err != nil {
		return false
	}
	l.mu.Lock()
	l.server = c.(*net.TCPConn)
	l.mu.Unlock()
	select {
	case <-l.ended: // reset during the dial
		abort(l.server)
		return false
	default:
		return true
	}
}

// pump forwards one direction until its source ends.
func (l *proxiedConn) copyData(from, to *net.TCPConn, towardsUpstream bool) {
	held := func(r Rules) bool { return r.CutClient }
	if towardsUpstream {
		held = func(r Rules) bool { return r.CutUpstream }
	}
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !l.waitWhile(held) {
			return
		}
		if n > 0 && !l.forward(to, buf[:n], towardsUpstream) {
			l.reset()
			return
		}
		if err != nil {
			_ = to.CloseWrite() // the other side may have ended already
			return
		}
	}
}

// forward applies the rules to one piece of data. It reports whether the link goes on.
func (l *proxiedConn) forward(to *net.TCPConn, data []byte, towardsUpstream bool) bool {
	rules, _ := l.proxy.current()
	if !towardsUpstream && rules.DropReplies {
		return false
	}
	if !l.sleep(rules.Delay) {
		return false
	}
	if _, err := to.Write(data); err != nil {
		return false
	}
	return towardsUpstream || !rules.ResetOnReply
}

// wait blocks while the rules hold the link. It returns false if the link has ended.
func (l *proxiedConn) waitWhile(held func(Rules) bool) bool {
	for {
		rules, changed := l.proxy.current()
		if !held(rules) {
			return true
		}
		select {
		case <-changed:
		case <-l.ended:
			return false
		}
	}
}

// sleep waits for d. It returns false if the link ends first.
func (l *proxiedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ended:
		return false
	}
}
