package peer

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// Guards against a call that takes a part of a message of a peer, whose connection was reset while
// the call was written, or the head of an HTTP response for its reply.
func TestBrokenReplyIsUnreachable(t *testing.T) {
	const repeats = 4
	large := home.ReserveRequest{Request: strings.Repeat("x", 12<<20)} // more than the buffers of two sockets hold
	for _, reply := range []string{
		`{"jsonrpc":"2.0","id":0,"result":{"Outcome":1`, `{"jsonrpc":"2.0","id":0,"result":{"Outcome":1}`, "",
		"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	} {
		l := listen(t, "127.0.0.1:0")
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
		c := newTestClient(t, l.Addr().String(), Options{})
		for i := range repeats {
			_, err := c.Reserve(t.Context(), large)
			assert.ErrorIs(t, err, ErrUnreachable, "%q, run %d", reply, i)
		}
	}
}
