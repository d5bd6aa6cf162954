package slopes

import (
	"io"
	"net"
	"sync/atomic"
)

// peerProxy forwards connections to the peer listener of a daemon and counts their
// bytes.
type peerProxy struct {
	listener countedListener
	backend  string
}

// newPeerProxy starts a proxy to backend that adds the transferred bytes to bytes.
func newPeerProxy(backend string, bytes *atomic.Int64) (*peerProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peerProxy{listener: countedListener{Listener: ln, bytes: bytes}, backend: backend}
	go p.serve()
	return p, nil
}

func (p *peerProxy) addr() string { return p.listener.Addr().String() }

func (p *peerProxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies data in both directions until one of them ends.
func (p *peerProxy) forward(front net.Conn) {
	defer front.Close()
	back, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer back.Close()
	go func() {
		_, _ = io.Copy(back, front)
		_ = back.Close() // ends the copy below
	}()
	_, _ = io.Copy(front, back)
}

func (p *peerProxy) close() { _ = p.listener.Close() }
