package gossip

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

func startNode(t *testing.T, host string) (*Node, chan Message) {
	t.Helper()
	received := make(chan Message, 16)
	n, err := Listen(host, "127.0.0.1:0", func(m Message) { received <- m }, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	assert.NilError(t, err)
	go n.Run(t.Context())
	return n, received
}

// Guards against messages that are lost or changed between hosts, and against
// malformed datagrams that stop the node.
func TestMessagesArrive(t *testing.T) {
	a, _ := startNode(t, "a")
	b, received := startNode(t, "b")
	a.SetPeers([]string{b.Addr(), "no address"})
	c, err := net.Dial("udp4", b.Addr())
	assert.NilError(t, err)
	for _, malformed := range []string{"", "junk", "{}", `{"h":"b","t":"own"}`} {
		_, err := c.Write([]byte(malformed))
		assert.NilError(t, err)
	}
	a.Send(Message{Number: 7, Target: "t1", Tokens: 9000})
	select {
	case m := <-received:
		assert.DeepEqual(t, m, Message{Host: "a", Number: 7, Target: "t1", Tokens: 9000})
	case <-time.After(2 * time.Second):
		t.Fatal("node b received no message within 2 s")
	}
}

// Guards against traffic that grows with the square of the number of hosts.
func TestFanoutIsBounded(t *testing.T) {
	a, _ := startNode(t, "a")
	peers := make([]string, 300)
	for i := range peers {
		peers[i] = net.JoinHostPort("127.0.0.1", "9")
	}
	a.SetPeers(peers)
	assert.Equal(t, len(a.selectPeers()), maxFanout)
}
