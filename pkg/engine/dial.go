package engine

import (
	"context"
	"net"

	"github.com/peppertrail/peppertrail/pkg/httpstrict"
)

// trackedDial returns a dial function whose connections record whether a request
// was written.
func trackedDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	dial := httpstrict.DialContext(dialer)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}
