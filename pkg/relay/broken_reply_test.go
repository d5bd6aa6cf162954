package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a call that takes a part of a message of another host, whose connection was reset
// while the call was written, or the head of an HTTP response for its reply.
func TestBrokenReplyIsUnavailable(t *testing.T) {
	const repeats = 4
	largeCall := rangeParams{Table: strings.Repeat("x", 12<<20)} // more than the buffers of two sockets hold
	for _, reply := range []string{
		`{"jsonrpc":"2.0","id":0,"result":{"Rows":[]`, `{"jsonrpc":"2.0","id":0,"result":{"Rows":[]}`, "",
		"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			for n := 0; ; n++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, reply)
				time.Sleep(time.Duration(n%10) * 300 * time.Microsecond)
				_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
				_ = c.Close()
			}
		}()
		r := New(rowstore.New(nil).Client(), func() []string { return nil }, discardLog())
		for i := range repeats {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			var page storage.RowPage
			err := r.Call(ctx, l.Addr().String(), methodRange, largeCall, &page)
			cancel()
			assert.Assert(t, errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrNotApplied), "%q, run %d: %v", reply, i, err)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%q, run %d: %v", reply, i, err)
		}
		_ = l.Close()
	}
}
