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

// Repeats is how often a test repeats an exchange in which the order of a reset, a write and a read
// varies.
const Repeats = 10

// Answer is what a server answers to each request, as soon as it has read its head.
type Answer struct {
	// Text returns the bytes of the answer to a request.
	Text func(r *http.Request) string
	End  End
}

// Server is a running server.
type Server struct {
	listener net.Listener
	requests atomic.Int64 // that were answered
}

// New starts a server on a loopback address.
func New(a Answer) *Server {
	s := listen()
	go s.accept(func(c *net.TCPConn) { s.serve(c, a) })
	return s
}

// NewForMessages starts a server for other protocols than HTTP. It answers the first bytes of each
// connection with text, and resets the connection shortly after.
func NewForMessages(text string) *Server {
	s := listen()
	go s.accept(func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, text)
		prepareReset(c, s.requests.Add(1))
	})
	return s
}

func listen() *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("rawserver: " + err.Error()) // as httptest.NewServer does
	}
	return &Server{listener: l}
}

// Close stops accepting connections. Those that are open end with their clients.
func (s *Server) Close() { _ = s.listener.Close() }

// Addr returns the server's address as IP:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept(serve func(c *net.TCPConn)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c.(*net.TCPConn))
		}()
	}
}

func (s *Server) serve(c *net.TCPConn, a Answer) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		run := s.requests.Add(1)
		if _, err := io.WriteString(c, a.Text(r)); err != nil {
			return
		}
		if !a.End.apply(c, in, r, run) {
			return
		}
	}
}

// apply prepares the connection for its end, and reports whether it carries another request.
func (e End) apply(c *net.TCPConn, in io.Reader, r *http.Request, run int64) bool {
	switch e {
	case Keep, Close:
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil && e == Keep
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
		prepareReset(c, run)
	}
	return false
}

// unreadTime is how long HalfCloseUnread keeps a connection open.
const unreadTime = 5 * time.Second

// prepareReset makes the connection's Close reset it, after a delay that differs between runs, as
// the client may be about to write or to read.
func prepareReset(c *net.TCPConn, run int64) {
	time.Sleep(time.Duration(run%10) * 300 * time.Microsecond)
	_ = c.SetLinger(0) // fails only if the connection is closed already
}
