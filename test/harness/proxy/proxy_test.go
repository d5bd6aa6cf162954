package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testDeadline = 10 * time.Second
	// noDataPeriod is how long a test waits to show that no data arrives on a held connection.
	noDataPeriod = 100 * time.Millisecond
)

// startEcho starts a server that echoes all data and also sends it to received.
func startEcho(t *testing.T) (addr string, received chan []byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.201:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	received = make(chan []byte, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go echo(c, received)
		}
	}()
	return l.Addr().String(), received
}

func echo(c net.Conn, received chan<- []byte) {
	defer c.Close()
	buf := make([]byte, 64)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		received <- append([]byte(nil), buf[:n]...)
		if _, err := c.Write(buf[:n]); err != nil {
			return
		}
	}
}

func startProxy(t *testing.T) (*Proxy, chan []byte) {
	t.Helper()
	addr, received := startEcho(t)
	p, err := Listen("127.0.0.202:0", addr)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p, received
}

func connect(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testDeadline)))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func expect(t *testing.T, c net.Conn, text string) {
	t.Helper()
	buf := make([]byte, len(text))
	_, err := io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), text)
}

// Guards against a cut that lets data through or loses it. Partition tests would
// then prove nothing.
func TestCutHoldsDataUntilHealed(t *testing.T) {
	p, received := startProxy(t)
	c := connect(t, p)
	send(t, c, "before")
	expect(t, c, "before")
	<-received
	assert.NilError(t, p.SetRules(Rules{CutUpstream: true}))
	send(t, c, "held")
	select {
	case data := <-received:
		t.Fatalf("received %q through a cut", data)
	case <-time.After(noDataPeriod):
	}
	assert.NilError(t, p.Heal())
	expect(t, c, "held")
}

// Guards against a cut in one direction that also holds data in the other one.
func TestCutTowardsClientDeliversUpstream(t *testing.T) {
	p, received := startProxy(t)
	c := connect(t, p)
	assert.NilError(t, p.SetRules(Rules{CutClient: true}))
	send(t, c, "one way")
	assert.Equal(t, string(<-received), "one way")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(noDataPeriod)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testDeadline)))
	assert.NilError(t, p.Heal())
	expect(t, c, "one way")
}

// Guards against a proxy that drops the call as well as its reply.
func TestDropRepliesDeliversTheCall(t *testing.T) {
	p, received := startProxy(t)
	assert.NilError(t, p.SetRules(Rules{DropReplies: true}))
	c := connect(t, p)
	send(t, c, "call")
	assert.Equal(t, string(<-received), "call")
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a half-open connection that forwards data to the upstream.
func TestHalfOpenForwardsNothing(t *testing.T) {
	p, received := startProxy(t)
	assert.NilError(t, p.SetRules(Rules{HalfOpen: true}))
	c := connect(t, p)
	send(t, c, "lost")
	select {
	case data := <-received:
		t.Fatalf("received %q through a half-open connection", data)
	case <-time.After(noDataPeriod):
	}
	assert.NilError(t, p.Heal())
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a Refuse rule that does not make the operating system refuse
// connections, and against a proxy that stays closed after Heal.
func TestRefuseRefusesUntilHealed(t *testing.T) {
	p, _ := startProxy(t)
	assert.NilError(t, p.SetRules(Rules{Refuse: true}))
	_, err := net.Dial("tcp", p.Addr())
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, p.Heal())
	c := connect(t, p)
	send(t, c, "again")
	expect(t, c, "again")
}

// Guards against a delay that is not applied in both directions.
func TestDelayIsApplied(t *testing.T) {
	const delay = 50 * time.Millisecond
	p, _ := startProxy(t)
	assert.NilError(t, p.SetRules(Rules{Delay: delay}))
	c := connect(t, p)
	began := time.Now()
	send(t, c, "late")
	expect(t, c, "late")
	assert.Assert(t, time.Since(began) >= 2*delay)
}

// Guards against a connection that stays open after Reset.
func TestResetEndsConnections(t *testing.T) {
	p, _ := startProxy(t)
	c := connect(t, p)
	send(t, c, "x")
	expect(t, c, "x")
	p.Reset()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a reset connection that reaches the client as the regular end of the data, so that a response that was broken off looks complete.
func TestResetOfUpstreamIsForwarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.201:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Write([]byte("half"))
			time.Sleep(noDataPeriod)
			abort(c.(*net.TCPConn))
		}
	}()
	p, err := Listen("127.0.0.202:0", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	defer c.Close()
	data, err := io.ReadAll(c)
	assert.Equal(t, string(data), "half")
	assert.ErrorContains(t, err, "reset")
}
