package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
)

const (
	// handshakeTimeout limits the TLS handshake of a new connection.
	handshakeTimeout = 5 * time.Second
	// handlerTimeout limits the handling of a call. It is far above the timeout
	// of callers, so that a received settlement is completed even after its
	// caller timed out.
	handlerTimeout = 10 * time.Second
	// writeTimeout limits the writing of a reply to a client that does not read.
	writeTimeout = 2 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when file
	// descriptors are exhausted.
	acceptRetryDelay = 50 * time.Millisecond
)

// ServerOptions configure a Server. Calls to a nil handler return an error.
type ServerOptions struct {
	Authority  home.Authority                                                        // handles reservations and settlements
	OnBundle   func(bundle json.RawMessage) error                                    // called concurrently for each pushed bundle
	OnHello    func(caller Hello) Hello                                              // returns the Hello of this daemon
	OnAttempts func(ctx context.Context, req AttemptsRequest) (AttemptsReply, error) // returns the open attempts of this daemon
	TLS        *tls.Config                                                           // server certificate and the CAs of client certificates (ClientCAs, or RootCAs if nil); nil for plain TCP
	Logf       func(format string, args ...any)                                      // receives connection errors; may be nil
}

// Server serves the calls of other daemons. Each call is handled in its own
// goroutine, so that calls on one connection do not wait for each other.
type Server struct {
	opt ServerOptions
}

// NewServer returns a server.
func NewServer(opt ServerOptions) *Server {
	if opt.TLS != nil {
		opt.TLS = opt.TLS.Clone()
		opt.TLS.ClientAuth = tls.RequireAndVerifyClientCert
		if opt.TLS.ClientCAs == nil {
			opt.TLS.ClientCAs = opt.TLS.RootCAs // otherwise any certificate of a public CA would be accepted
		}
	}
	return &Server{opt: opt}
}

// Serve accepts connections on l until ctx ends, then closes l and every
// connection, waits for the calls being handled and returns nil. It returns an
// error if l is closed before ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	calls := &callGroup{}
	defer calls.close()
	defer cancel()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			s.logf("cannot accept a connection, retrying: %v", err)
			time.Sleep(acceptRetryDelay)
		default:
			go s.serveConn(ctx, conn, calls)
		}
	}
}

// serveConn performs the TLS handshake of conn and starts to serve its calls. It
// does not wait for the end of the connection, which ctx also ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, calls *callGroup) {
	secured, err := s.handshake(ctx, conn)
	if err != nil {
		s.logf("TLS handshake with %s failed, closing the connection: %v", conn.RemoteAddr(), err)
		conn.Close()
		return
	}
	newRPCConn(ctx, secured, writeTimeout, &handler{server: s, calls: calls}, errorLogger(s.opt.Logf))
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.opt.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.opt.TLS)
	return secured, secured.HandshakeContext(ctx)
}

func (s *Server) logf(format string, args ...any) {
	errorLogger(s.opt.Logf).Printf(format, args...)
}
