package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
)

// sendPartOfBody sends the header of a request and a part of its body on a new
// connection, and nothing more, as a caller does whose connection has gone silent.
func (r *fixture) sendPartOfBody(id, path string, headers ...string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	d := dialect.Default()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n", path, testHostName, d.RequestID, id, d.Key, testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(conn, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprint(conn, "Content-Length: 1000\r\n\r\npart of the body")
	return conn
}

// Guards against a request whose caller has gone silent within its body, and that stays
// open past its deadline: it keeps a connection of the host, and a stopping host waits
// for it.
func TestBodyOfSilentCallerIsReadUntilTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		headers []string
	}{
		"timeout of the route":    {path: "/short/x"},
		"deadline of the caller":  {path: "/safe/x", headers: []string{dialect.Default().CallTimeout, "200ms"}},
		"request of another host": {path: "/short/x", headers: []string{hopHeader, hopInfo{}.String()}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 1)
			if name == "request of another host" {
				r.handler.Admission = nexthop.NewAdmission(8)
				r.server.Config.Handler = http.HandlerFunc(r.handler.ServeHost)
			}
			started := time.Now()
			conn := r.sendPartOfBody("r1", c.path, c.headers...)
			assert.NilError(t, conn.SetReadDeadline(started.Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "no answer %v after the request was sent", time.Since(started))
			took := time.Since(started)
			assert.Assert(t, took >= 200*time.Millisecond && took < 200*time.Millisecond+lateAfterDeadline, "answered after %v", took)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, response.Close)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF, "the connection stays open")
			assert.Equal(t, r.totalRuns(), 0)
			r.checkSettled()
		})
	}
}

// Guards against a refusal that waits without end for a body that nobody reads: the server
// reads it before it answers.
func TestRefusalDoesNotWaitForTheBodyOfSilentCaller(t *testing.T) {
	r := newFixture(t, 1)
	started := time.Now()
	conn := r.sendPartOfBody("r1", "/nowhere/x", dialect.Default().CallTimeout, "200ms")
	assert.NilError(t, conn.SetReadDeadline(started.Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "no answer %v after the request was sent", time.Since(started))
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Assert(t, time.Since(started) < 200*time.Millisecond+lateAfterDeadline)
}

// Guards against a read deadline that stays on the connection after the body of a request
// was read, and ends the request or the next one on the connection.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	r := newFixture(t, 1)
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	d := dialect.Default()
	for i, path := range []string{"/short/x", "/nowhere/x", "/short/x"} {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: %s\r\n%s: 200ms\r\nContent-Length: 4\r\n\r\nbody", path, testHostName, d.RequestID, i, d.Key, testKey, d.CallTimeout)
		response, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode == http.StatusOK, path == "/short/x", "%s: %d", path, response.StatusCode)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond) // past the deadline of the request
	}
}

// Guards against a large response that waits without end for a caller that does not read: it
// keeps the memory of its body and a connection of the host.
func TestResponseToCallerThatDoesNotReadEndsAtTheDeadline(t *testing.T) {
	const bodyBytes = 12 << 20 // more than the buffers of the sockets take
	r := newFixture(t, 0)
	r.handler.Targets.Apply([]balance.Target{startRawTarget(t, "t0", func(conn net.Conn, in *bufio.Reader) {
		id, ok := readID(in)
		if !ok {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", dialect.Default().RequestID, id, bodyBytes)
		_, _ = conn.Write(make([]byte, bodyBytes)) // fails if the host does not take the whole body
	})})
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	d := dialect.Default()
	started := time.Now()
	fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: %s\r\n%s: 500ms\r\nContent-Length: 0\r\n\r\n", testHostName, d.RequestID, d.Key, testKey, d.CallTimeout)
	for r.handler.bodies.used.Load() == 0 && time.Since(started) < 400*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, r.handler.bodies.used.Load() > 0, "the host has not read the response")
	for r.handler.bodies.used.Load() > 0 && time.Since(started) < 3*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(started)
	assert.Assert(t, took < 500*time.Millisecond+lateAfterDeadline, "the memory of the body is released after %v", took)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := io.Copy(io.Discard, conn)
	assert.Assert(t, n < bodyBytes, "the whole response was written")
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
}

// Guards against a write deadline that stays on the connection after a response, and breaks
// the response to a later request on it.
func TestWriteDeadlineEndsWithTheResponse(t *testing.T) {
	r := newFixture(t, 1)
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	d := dialect.Default()
	for i, path := range []string{"/stream/x", "/safe/x", "/stream/x", "/safe/x"} {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: %s\r\n%s: 300ms\r\nAccept: text/event-stream\r\nContent-Length: 4\r\n\r\nbody", path, testHostName, d.RequestID, i, d.Key, testKey, d.CallTimeout)
		response, err := http.ReadResponse(in, nil)
		assert.NilError(t, err, path)
		assert.Equal(t, response.StatusCode, http.StatusOK, path)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err, path)
		time.Sleep(400 * time.Millisecond) // past the deadline of the request
	}
}
