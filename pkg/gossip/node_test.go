package gossip

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

func node(t *testing.T, host string) (*Node, chan Message) {
	t.Helper()
	heard := make(chan Message, 16)
	n, err := Listen(host, "127.0.0.1:0", func(m Message) { heard <- m }, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	assert.NilError(t, err)
	go n.Run(t.Context())
	return n, heard
}

// Guards against messages that are lost or changed between hosts, and against
// datagrams of others that end the node.
func TestMessagesArrive(t *testing.T) {
	a, _ := node(t, "a")
	b, heard := node(t, "b")
	a.SetPeers([]string{b.Addr(), "no address"})
	c, err := net.Dial("udp4", b.Addr())
	assert.NilError(t, err)
	for _, junk := range []string{"", "junk", "{}", `{"h":"b","t":"own"}`} {
		_, err := c.Write([]byte(junk))
		assert.NilError(t, err)
	}
	a.Send(Message{Number: 7, Target: "t1", Tokens: 9000})
	select {
	case m := <-heard:
		assert.Equal(t, m, Message{Host: "a", Number: 7, Target: "t1", Tokens: 9000})
	case <-time.After(2 * time.Second):
		t.Fatal("nothing arrived")
	}
}

// Guards against messages that grow with the square of the hosts.
func TestFanoutIsBounded(t *testing.T) {
	a, _ := node(t, "a")
	peers := make([]string, 300)
	for i := range peers {
		peers[i] = net.JoinHostPort("127.0.0.1", "9")
	}
	a.SetPeers(peers)
	assert.Equal(t, len(a.receivers()), maxFanout)
}
