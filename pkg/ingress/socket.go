package ingress

import (
	"net"
	"sync"
	"time"
)

// socket is a listening socket that can be closed for a time. While it is closed, the kernel
// refuses connections, so that no byte of a request crosses the link of the host. It is safe for
// concurrent use.
type socket struct {
	addr net.Addr

	mu       sync.Mutex
	tcp      *net.TCPListener // nil while suspended
	reopened chan struct{}    // closed when tcp is set again or the socket is closed; nil while tcp is set
	ended    bool             // Close was called
	kept     bool             // Suspend does nothing
}

func newSocket(tcp *net.TCPListener) *socket { return &socket{addr: tcp.Addr(), tcp: tcp} }

// AcceptTCP waits for a connection, also while the socket is suspended.
func (s *socket) AcceptTCP() (*net.TCPConn, error) {
	for {
		s.mu.Lock()
		tcp, reopened, ended := s.tcp, s.reopened, s.ended
		s.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if tcp == nil {
			<-reopened
			continue
		}
		conn, err := tcp.AcceptTCP()
		if err != nil && s.replaced(tcp) {
			continue
		}
		return conn, err
	}
}

// replaced reports whether tcp was closed by Suspend.
func (s *socket) replaced(tcp *net.TCPListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && s.tcp != tcp
}

// SetDeadline sets the deadline of AcceptTCP until the socket is suspended.
func (s *socket) SetDeadline(at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tcp == nil {
		return net.ErrClosed
	}
	return s.tcp.SetDeadline(at)
}

// Addr implements net.Listener.
func (s *socket) Addr() net.Addr { return s.addr }

// Close implements net.Listener.
func (s *socket) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.tcp == nil {
		s.setReopened()
		return nil
	}
	return s.tcp.Close()
}

// Suspend closes the socket until Resume is called. Connections that were accepted stay open;
// those that wait to be accepted are reset, with nothing read from them.
func (s *socket) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tcp == nil || s.ended || s.kept {
		return
	}
	_ = s.tcp.Close() // fails only if it is closed
	s.tcp, s.reopened = nil, make(chan struct{})
}

// Suspended reports whether the socket is closed until Resume is called.
func (s *socket) Suspended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tcp == nil && !s.ended
}

// Resume opens the socket again at the same address. After an error it is still suspended.
func (s *socket) Resume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tcp != nil || s.ended {
		return nil
	}
	l, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return err
	}
	s.tcp = l.(*net.TCPListener)
	s.setReopened()
	return nil
}

// keepOpen resumes the socket and makes Suspend do nothing from now on. It reports whether the
// socket is open.
func (s *socket) keepOpen() bool {
	s.mu.Lock()
	s.kept = true
	s.mu.Unlock()
	return s.Resume() == nil
}

// setReopened wakes AcceptTCP. The caller holds the mutex.
func (s *socket) setReopened() {
	if s.reopened != nil {
		close(s.reopened)
		s.reopened = nil
	}
}
