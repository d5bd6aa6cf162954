// Package process runs the HTTP server of a stand-in from start to graceful shutdown.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout is the longest time that a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// shutdownTimeout is the longest wait, after the drain, for clients to read
	// the rest of their responses.
	shutdownTimeout = 5 * time.Second
)

// Serve listens on addr, prints "listening ADDR" to out and serves h until ctx
// is done. It then calls drain, which returns once accepted requests have
// finished, and shuts the server down. Connections stay open during the drain.
func Serve(ctx context.Context, addr string, h http.Handler, out io.Writer, drain func()) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	if _, err := fmt.Fprintf(out, "listening %s\n", ln.Addr()); err != nil {
		return errors.Join(fmt.Errorf("announce address: %w", err), srv.Close())
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	drain()
	return shutdown(srv)
}

// shutdown waits for open responses and closes the connections that are still
// open after shutdownTimeout.
func shutdown(srv *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return srv.Close()
	}
	return err
}
