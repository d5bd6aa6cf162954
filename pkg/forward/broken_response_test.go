package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
)

// largeBody is not written to its end before a target answers early.
var largeBody = strings.Repeat("x", rawserver.UnreadBytes)

// rawAnswer is an answer that echoes the id of its request.
type rawAnswer struct {
	head rawserver.Head
	body string
	end  rawserver.End
}

// start starts a server that gives the answer, and returns its address.
func (a rawAnswer) start(t *testing.T) string {
	t.Helper()
	s := rawserver.New(rawserver.Answer{End: a.end, Text: rawserver.Echo(dialect.Default().RequestID, a.head, a.body)})
	t.Cleanup(s.Close)
	return s.Addr()
}

// answerReaders start a host that reads the answer of the server at addr, as that of its own target,
// of another host, or of a target of another host.
var answerReaders = map[string]func(t *testing.T, addr string) *fixture{
	"target": newHostWithTarget,
	"other host": func(t *testing.T, addr string) *fixture {
		r := newCutOffFixture(t)
		r.permitLargeBodies()
		r.handler.Hosts.SetHosts([]nexthop.Host{{Name: addr, Addr: addr}})
		return r
	},
	"target of another host": func(t *testing.T, addr string) *fixture {
		r := newCutOffFixture(t, newHostWithTarget(t, addr))
		r.permitLargeBodies()
		return r
	},
}

// newHostWithTarget returns a host whose only target is at addr.
func newHostWithTarget(t *testing.T, addr string) *fixture {
	t.Helper()
	r := newFixture(t, 0)
	r.permitLargeBodies()
	r.handler.Targets.Apply([]balance.Target{{ID: addr, Service: testService, Addr: addr, Slots: 8}})
	return r
}

// permitLargeBodies makes the host accept requests with largeBody.
func (r *fixture) permitLargeBodies() {
	c := *r.config.Load()
	c.Limits.BodyBytes = 2 * rawserver.UnreadBytes
	r.config.Store(&c)
}

// upload sends a request with largeBody.
func (r *fixture) upload(id, path string) reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
	defer cancel()
	return r.send(ctx, id, path, largeBody)
}

var withoutLength = rawserver.Head{Status: "200 OK"}

// Guards against passing on as complete a part of an answer whose connection was reset while the
// request was written.
func TestResetDuringUploadIsNotAnAnswer(t *testing.T) {
	for name, newHost := range answerReaders {
		t.Run(name, func(t *testing.T) {
			for i := range rawserver.Repeats {
				r := newHost(t, rawAnswer{withoutLength, "part", rawserver.Reset}.start(t))
				got := r.upload(fmt.Sprint(i), "/unsafe/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "run %d: %q", i, got.body)
			}
		})
	}
}

// Guards against ending an event stream regularly after a reset between two events.
func TestResetDuringUploadBreaksEventStream(t *testing.T) {
	head := rawserver.Head{Status: "200 OK", Fields: []string{"Content-Type: text/event-stream"}}
	for name, newHost := range answerReaders {
		t.Run(name, func(t *testing.T) {
			for i := range rawserver.Repeats {
				r := newHost(t, rawAnswer{head, "id: 1\ndata: a\n\n", rawserver.Reset}.start(t))
				got := r.upload(fmt.Sprint(i), "/stream/x")
				if got.status == http.StatusOK {
					assert.Assert(t, got.err != nil, "run %d: the stream looks complete: %q", i, got.body)
					continue
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "run %d: %q", i, got.body)
			}
		})
	}
}

// Guards against losing a whole answer that arrives before the request is written, whatever the
// target does with the connection after its regular end.
func TestEarlyAnswerReachesTheCaller(t *testing.T) {
	const body = "whole answer"
	withLength := rawserver.Head{Status: "200 OK", Fields: []string{fmt.Sprint("Content-Length: ", len(body))}}
	lastWithLength := rawserver.Head{Status: "200 OK", Fields: append(withLength.Fields, "Connection: close")}
	chunked := rawserver.Head{Status: "200 OK", Fields: []string{"Transfer-Encoding: chunked"}}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, newHost := range answerReaders {
		for _, answer := range []rawAnswer{
			{withLength, body, rawserver.Keep}, {chunked, chunks, rawserver.Keep},
			{lastWithLength, body, rawserver.HalfClose}, {withoutLength, body, rawserver.HalfClose},
			{withoutLength, body, rawserver.Close}, {withoutLength, body, rawserver.HalfCloseUnread}, {withoutLength, body, rawserver.HalfCloseReset},
			{withLength, body, rawserver.Reset}, {chunked, chunks, rawserver.Reset},
		} {
			t.Run(fmt.Sprintf("%s, %v, %v", name, answer.head.Fields, answer.end), func(t *testing.T) {
				r := newHost(t, answer.start(t))
				for i := range rawserver.Repeats {
					got := r.upload(fmt.Sprint(i), "/unsafe/x")
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK, "run %d: %q", i, got.body)
					assert.Equal(t, got.body, body)
				}
			})
		}
	}
}

// Guards against passing on an answer whose status code is none of HTTP, and against a connection
// to the caller that ends without an answer.
func TestInvalidStatusIsNotAnAnswer(t *testing.T) { checkInvalid(t, rawserver.InvalidStatuses()) }

// Guards against passing on an answer with a field whose name holds a blank or a control byte, also
// without that field, as the body may be another one then.
func TestInvalidNameIsNotAnAnswer(t *testing.T) {
	checkInvalid(t, append(rawserver.InvalidNames(), rawserver.LinesWithoutName()...))
}

// Guards against losing or changing an unusual field that HTTP permits.
func TestEveryFieldReachesTheCaller(t *testing.T) {
	r := newFixture(t, 0)
	addr := rawAnswer{rawserver.Head{Status: "200 OK", Fields: rawserver.ValidFields()}, "whole", rawserver.Close}.start(t)
	r.handler.Targets.Apply([]balance.Target{{ID: addr, Service: testService, Addr: addr, Slots: 8}})
	got := r.post("r", "/unsafe/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "whole")
	for _, field := range rawserver.ValidFields() {
		name, value, _ := strings.Cut(field, ":")
		assert.Assert(t, slices.Contains(got.header.Values(name), strings.Trim(value, " \t")), "%q: %q", field, got.header.Values(name))
	}
}

// checkInvalid checks that callers get a refusal in place of answers with these heads, or the
// answer of a sound target if the request may be repeated.
func checkInvalid(t *testing.T, heads []rawserver.Head) {
	t.Helper()
	for name, newHost := range answerReaders {
		t.Run(name, func(t *testing.T) {
			for i, head := range heads {
				r := newHost(t, rawAnswer{head, rawserver.Body, rawserver.Close}.start(t))
				got := r.post("r", []string{"/unsafe/x", "/stream/x"}[i%2])
				assert.NilError(t, got.err, "%q", head)
				assert.Equal(t, got.status, http.StatusBadGateway, "%q: %v %q", head, got.header, got.body)
				r.server.Close()
			}
		})
	}
	t.Run("repeated", func(t *testing.T) {
		sound := rawAnswer{rawserver.Head{Status: "200 OK", Fields: []string{"Content-Length: 5"}}, "sound", rawserver.Keep}.start(t)
		for _, head := range heads {
			r := newFixture(t, 0)
			broken := rawAnswer{head, rawserver.Body, rawserver.Close}.start(t)
			r.handler.Targets.Apply([]balance.Target{
				{ID: "broken", Service: testService, Addr: broken, Slots: 8}, {ID: "sound", Service: testService, Addr: sound, Slots: 8},
			})
			for i := range 2 {
				got := r.post(fmt.Sprint(i), "/safe/x")
				assert.NilError(t, got.err, "%q", head)
				assert.Equal(t, got.body, "sound", "%q: %d", head, got.status)
			}
			r.server.Close()
		}
	})
}

// Guards against losing an answer with an unusual status code.
func TestEveryStatusReachesTheCaller(t *testing.T) {
	r := newFixture(t, 0)
	for _, status := range rawserver.ValidStatuses() {
		head := rawserver.Head{Status: fmt.Sprint(status, " Some reason"), Fields: []string{"Connection: close"}}
		addr := rawAnswer{head, "whole", rawserver.Close}.start(t)
		r.handler.Targets.Apply([]balance.Target{{ID: addr, Service: testService, Addr: addr, Slots: 8}})
		got := r.post(fmt.Sprint(status), "/unsafe/x")
		assert.NilError(t, got.err)
		switch {
		case status == http.StatusMisdirectedRequest: // another process has taken the address
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
		case statusMeansNotRun(status): // without the header that confirms it
			assert.Equal(t, got.status, http.StatusBadGateway)
		default:
			assert.Equal(t, got.status, status)
			if status != http.StatusNoContent && status != http.StatusNotModified {
				assert.Equal(t, got.body, "whole")
			}
		}
	}
}
