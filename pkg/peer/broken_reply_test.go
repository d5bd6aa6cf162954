package peer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
)

// Guards against a call that takes a part of a message of a peer, whose connection was reset while
// the call was written, or the head of an HTTP response for its reply.
func TestBrokenReplyIsUnreachable(t *testing.T) {
	largeCall := home.ReserveRequest{Request: strings.Repeat("x", rawserver.UnreadBytes)}
	for _, reply := range rawserver.BrokenMessages() {
		s := rawserver.NewForMessages(reply)
		c := newTestClient(t, s.Addr(), Options{})
		for i := range rawserver.Repeats / 2 {
			_, err := c.Reserve(t.Context(), largeCall)
			assert.ErrorIs(t, err, ErrUnreachable, "%q, run %d", reply, i)
		}
		s.Close()
	}
}
