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
	config     config.Config
	callers    net.Listener
	operators  net.Listener
	peer       net.Listener
	public     *tls.Config // callers and operators; nil without TLS
	peerServer *tls.Config
	peerClient *tls.Config
}

func newListeners(c config.Config) (*listeners, error) {
	l := &listeners{config: c}
	if !c.TLS.Enabled() {
		return l, nil
	}
	files := access.TLSFiles{Cert: c.TLS.CertFile, Key: c.TLS.KeyFile, CA: c.TLS.CAFile}
	var err error
	if l.public, err = access.ServerTLS(files); err != nil {
		return nil, err
	}
	if l.peerServer, err = access.MutualServerTLS(files); err != nil {
		return nil, err
	}
	l.peerClient, err = access.MutualClientTLS(files)
	return l, err
}

// open binds the three addresses.
func (l *listeners) open(ctx context.Context) error {
	var err error
	if l.callers, err = l.bind(ctx, "callers", l.config.Listen.String(), l.public); err != nil {
		return err
	}
	if l.operators, err = l.bind(ctx, "operators", l.config.AdminListen.String(), l.public); err != nil {
		return err
	}
	l.peer, err = l.bind(ctx, "peers", l.config.PeerListen.String(), nil)
	return err
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

// serve starts the servers. A server that fails reports to failed.
func (d *Daemon) serve(ctx context.Context, failed chan<- error) {
	go serveHTTP(d.callers, d.listen.callers, failed)
	go serveHTTP(&http.Server{Handler: d.admin, ReadHeaderTimeout: adminHeaderTimeout}, d.listen.operators, failed)
	peers := peer.NewServer(peer.ServerOptions{
		Authority:  d.local,
		OnBundle:   d.bundlePushed,
		OnHello:    d.hello,
		OnAttempts: d.testify,
		TLS:        d.listen.peerServer,
	})
	go func() {
		if err := peers.Serve(ctx, d.listen.peer); err != nil {
			failed <- err
		}
	}()
}

func serveHTTP(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// advertised returns the address that other daemons connect to. Port 0 stands
// for the port that the system chose.
func advertised(c config.Config, bound net.Addr) string {
	if c.AdvertisePeer.Port() != 0 {
		return c.AdvertisePeer.String()
	}
	_, port, err := net.SplitHostPort(bound.String())
	if err != nil {
		return bound.String()
	}
	return net.JoinHostPort(c.AdvertisePeer.Addr().String(), port)
}
