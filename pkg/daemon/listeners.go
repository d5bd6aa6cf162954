package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/config"
	"github.com/peppertrail/peppertrail/pkg/peer"
)

// listeners are the daemon's three listening sockets and their TLS settings.
type listeners struct {
	config        config.Config
	callers       net.Listener
	operators     net.Listener
	peers         net.Listener // plain TCP, because the peer server itself adds TLS
	publicTLS     *tls.Config  // for callers and operators; nil without TLS
	peerServerTLS *tls.Config
	peerClientTLS *tls.Config
}

func newListeners(c config.Config) (*listeners, error) {
	l := &listeners{config: c}
	if !c.TLS.Enabled() {
		return l, nil
	}
	files := access.TLSFiles{Cert: c.TLS.CertFile, Key: c.TLS.KeyFile, CA: c.TLS.CAFile}
	var err error
	if l.publicTLS, err = access.ServerTLS(files); err != nil {
		return nil, err
	}
	if l.peerServerTLS, err = access.MutualServerTLS(files); err != nil {
		return nil, err
	}
	l.peerClientTLS, err = access.MutualClientTLS(files)
	return l, err
}

// open listens on the three addresses.
func (l *listeners) open(ctx context.Context) error {
	var err error
	if l.callers, err = l.bind(ctx, "callers", l.config.Listen.String(), l.publicTLS); err != nil {
		return err
	}
	if l.operators, err = l.bind(ctx, "operators", l.config.AdminListen.String(), l.publicTLS); err != nil {
		return err
	}
	l.peers, err = l.bind(ctx, "peers", l.config.PeerListen.String(), nil)
	return err
}

// close closes the sockets that are still open. It returns once their ports are free.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close() // fails only if the server has closed it
		}
	}
}

func (l *listeners) bind(ctx context.Context, name, addr string, t *tls.Config) (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	if t != nil {
		return tls.NewListener(listener, t), nil
	}
	return listener, nil
}

// serve starts the servers. A server that fails sends its error to failed.
func (d *Daemon) serve(ctx context.Context, failed chan<- error) {
	go serveHTTP(d.callerServer, d.listeners.callers, failed)
	go serveHTTP(&http.Server{Handler: d.admin, ReadHeaderTimeout: adminHeaderTimeout}, d.listeners.operators, failed)
	peers := peer.NewServer(peer.ServerOptions{
		Authority:  d.local,
		OnBundle:   d.onBundlePushed,
		OnHello:    d.answerHello,
		OnAttempts: d.answerAttempts,
		TLS:        d.listeners.peerServerTLS,
	})
	go func() {
		if err := peers.Serve(ctx, d.listeners.peers); err != nil {
			failed <- err
		}
	}()
}

func serveHTTP(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// advertisedPeerAddr returns the address that other daemons connect to. If the
// configured port is 0, it uses the port that the system assigned to the listener.
func advertisedPeerAddr(c config.Config, bound net.Addr) string {
	if c.AdvertisePeer.Port() != 0 {
		return c.AdvertisePeer.String()
	}
	_, port, err := net.SplitHostPort(bound.String())
	if err != nil {
		return bound.String()
	}
	return net.JoinHostPort(c.AdvertisePeer.Addr().String(), port)
}
