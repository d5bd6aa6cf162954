package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End is what a server does with a connection after its answer.
type End int

// Ends of connections.
const (
	// Keep reads the rest of the request and serves the next one.
	Keep End = iota
	// Close reads the rest of the request and closes the connection.
	Close
	// HalfClose closes the sending side and reads until the client closes.
	HalfClose
	// HalfCloseUnread closes the sending side and reads nothing more.
	HalfCloseUnread
	// HalfCloseReset closes the sending side and resets the connection shortly after.
	HalfCloseReset
	// Reset resets the connection shortly after the answer.
	Reset
)

// String implements fmt.Stringer, for the names of tests.
func (e End) String() string {
	return [...]string{"keep", "close", "half close", "half close unread", "half close and reset", "reset"}[e]
}

// UnreadBytes is a size of a request body that the buffers of a connection do not hold, so that it
// is still being written when a server answers early.
const UnreadBytes = 12 << 20

// Answer is what a server answers to each request, as soon as it has read its head.
type Answer struct {
	// Text returns the bytes of the answer to a request.
	Text func(r *http.Request) string
	End  End
}

// Server is a running server.
type Server struct {
	answer   Answer
	listener net.Listener
	requests atomic.Int64
}

// New starts a server on a loopback address.
func New(a Answer) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("rawserver: " + err.Error()) // as httptest.NewServer does
	}
	s := &Server{answer: a, listener: l}
	go s.accept()
	return s
}

// Close stops accepting connections. Those that are open end with their clients.
func (s *Server) Close() { _ = s.listener.Close() }

// Addr returns the server's address as IP:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were answered.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		run := s.requests.Add(1)
		if _, err := io.WriteString(c, s.answer.Text(r)); err != nil {
			return
		}
		if !s.end(c, in, r, resetDelay(run)) {
			return
		}
	}
}

// end ends the connection, and reports whether it carries another request.
func (s *Server) end(c *net.TCPConn, in io.Reader, r *http.Request, delay time.Duration) bool {
	switch s.answer.End {
	case Keep, Close:
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil && s.answer.End == Keep
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	case HalfCloseUnread:
		_ = c.CloseWrite()
		time.Sleep(unreadTime)
	case HalfCloseReset:
		_ = c.CloseWrite()
		fallthrough
	case Reset:
		time.Sleep(delay)
		_ = c.SetLinger(0) // makes Close reset the connection
	}
	return false
}

// unreadTime is how long HalfCloseUnread keeps a connection open.
const unreadTime = 5 * time.Second

// resetDelay returns the delay before a reset, which differs between requests, as the client may
// be about to write or to read.
func resetDelay(request int64) time.Duration {
	return time.Duration(request%10) * 300 * time.Microsecond
}
