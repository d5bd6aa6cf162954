package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// Guards against several clients for one peer, and against keeping the clients of
// removed peers.
func TestPoolReusesAndRetainsClients(t *testing.T) {
	p := NewPool(Options{Timeout: testTimeout})
	defer p.Close()
	a, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: &fakeAuthority{}})
	b, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: &fakeAuthority{}})
	clientA, clientB := p.Client(a), p.Client(b)
	assert.Assert(t, p.Client(a) == clientA)
	assert.Assert(t, clientA != clientB)
	reserveOK(t, clientA)
	reserveOK(t, clientB)
	p.Retain([]string{b})
	_, err := clientA.Reserve(t.Context(), home.ReserveRequest{})
	assert.ErrorIs(t, err, ErrClosed)
	assert.Assert(t, p.Client(b) == clientB)
	reserveOK(t, clientB)
	reserveOK(t, p.Client(a))
}
