package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Run serves a new stand-in on the TCP address listen until ctx is done, and calls
// ready with the bound address. It returns an error if it cannot listen.
func Run(ctx context.Context, listen string, ready func(addr string)) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: New().Handler()}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	ready(l.Addr().String())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
