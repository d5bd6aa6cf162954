package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// Guards against a host that shuts down and takes requests that it will cut off, or refuses those that end in time.
func TestStoppingHostTakesRequestsThatEndInTime(t *testing.T) {
	f := newFixture(t, 1)
	f.setFaults(replica.Faults{Delay: 60 * time.Millisecond})
	stopIn := func(d time.Duration, strict bool) { f.stop.Store(&Stop{Ends: time.Now().Add(d), Strict: strict}) }
	status := func(id, path string) int { return f.post(id, path).status }
	assert.Equal(t, status("first-unsafe", "/unsafe/x"), http.StatusOK)
	assert.Equal(t, status("first-stream", "/stream/x"), http.StatusOK)

	stopIn(3*time.Second, true) // the routes allow 2 s
	assert.Equal(t, status("u1", "/unsafe/x"), http.StatusOK)
	stopIn(time.Second, false)
	assert.Equal(t, status("u2", "/unsafe/x"), http.StatusOK)
	assert.Equal(t, status("s2", "/stream/x"), http.StatusOK)
	answer := f.post("n2", "/safe/x")
	assert.Equal(t, answer.status, http.StatusServiceUnavailable, "nothing is known of the route")
	assert.Equal(t, answer.body, "shutting_down\n")
	assert.Assert(t, answer.header.Get("Retry-After") != "" && answer.closed)
	stopIn(time.Second, true)
	assert.Equal(t, status("u3", "/unsafe/x"), http.StatusServiceUnavailable)
	stopIn(30*time.Millisecond, false)
	assert.Equal(t, status("s4", "/stream/x"), http.StatusServiceUnavailable)
	f.setFaults(replica.Faults{Delay: 300 * time.Millisecond})
	f.stop.Store(nil)
	assert.Equal(t, status("slow", "/unsafe/x"), http.StatusOK)
	runs := f.totalRuns()
	stopIn(500*time.Millisecond, false)
	assert.Equal(t, status("u5", "/unsafe/x"), http.StatusServiceUnavailable, "less than twice the longest time is left")
	assert.Equal(t, f.totalRuns(), runs)
}
