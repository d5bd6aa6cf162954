package httpstrict

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
)

// newClient returns a client with a Transport.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: Transport{&http.Transport{DialContext: DialContext(&net.Dialer{})}}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a connection that is used again after an invalid response: what is left of it
// would be the response to the next request.
func TestTransportClosesConnectionOfInvalidResponse(t *testing.T) {
	valid := rawserver.Head{Status: "200 OK", Fields: []string{"Content-Length: 5"}}.Text() + "whole"
	for _, head := range append(rawserver.InvalidStatuses(), rawserver.InvalidNames()...) {
		s := rawserver.New(rawserver.Answer{Text: func(r *http.Request) string {
			if r.URL.Path == "/valid" {
				return valid
			}
			return head.Text() + valid
		}})
		c := newClient(t)
		for i := range 3 {
			response, err := c.Get(fmt.Sprintf("http://%s/invalid/%d", s.Addr(), i))
			if err == nil {
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil, "%q", head)
			response, err = c.Get(fmt.Sprintf("http://%s/valid", s.Addr()))
			assert.NilError(t, err, "%q", head)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
			_ = response.Body.Close()
		}
		s.Close()
	}
}

// Guards against losing a whole response whose server closes its side, or the connection, before it
// has read the request.
func TestTransportReturnsEarlyResponse(t *testing.T) {
	withLength := rawserver.Head{Status: "200 OK", Fields: []string{"Content-Length: 5"}}
	for _, answer := range []struct {
		head rawserver.Head
		end  rawserver.End
	}{
		{withLength, rawserver.HalfCloseReset}, {withLength, rawserver.Reset}, {rawserver.Head{Status: "200 OK"}, rawserver.HalfCloseReset},
	} {
		s := rawserver.New(rawserver.Answer{End: answer.end, Text: func(*http.Request) string { return answer.head.Text() + "whole" }})
		c := newClient(t)
		for i := range repeats / 4 {
			response, err := c.Post("http://"+s.Addr(), "text/plain", bytes.NewReader(unread))
			assert.NilError(t, err, "%v, run %d", answer, i)
			if i%2 == 0 { // read after the write has failed as well
				time.Sleep(5 * time.Millisecond)
			}
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err, "%v, run %d", answer, i)
			assert.Equal(t, string(body), "whole")
			_ = response.Body.Close()
		}
		s.Close()
	}
}

// Guards against a failed write that never returns.
func TestFailedWriteReturnsAfterClose(t *testing.T) {
	for range repeats {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		c, err := DialContext(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		peer, err := l.Accept()
		assert.NilError(t, err)
		resetAfter(peer.(*net.TCPConn), 0)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write(unread)
			written <- err
		}()
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(written), 0)
		assert.NilError(t, c.Close())
		assert.Assert(t, <-written != nil)
		assert.NilError(t, l.Close())
	}
}

// Guards against losing a response with a field that spans lines, which a client reads as one line
// (RFC 9112, section 5.2).
func TestTransportJoinsLines(t *testing.T) {
	head := rawserver.Head{Status: "200 OK", Fields: []string{"X-Folded: a", "  b: c"}}
	s := rawserver.New(rawserver.Answer{End: rawserver.Close, Text: func(*http.Request) string { return head.Text() + "whole" }})
	defer s.Close()
	response, err := newClient(t).Get("http://" + s.Addr())
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Header.Get("X-Folded"), "a b: c")
}

// Guards against connections that are not used again after valid responses.
func TestTransportReusesConnections(t *testing.T) {
	s := rawserver.New(rawserver.Answer{Text: func(r *http.Request) string {
		return rawserver.Head{Status: "200 OK", Fields: []string{fmt.Sprint("Content-Length: ", len(r.RemoteAddr))}}.Text() + r.RemoteAddr
	}})
	defer s.Close()
	c := newClient(t)
	addrs := map[string]bool{}
	for range 10 {
		response, err := c.Get("http://" + s.Addr())
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		addrs[string(body)] = true
	}
	assert.Equal(t, len(addrs), 1)
}
