package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// Guards against requests for a target that has said in an answer, of any status, that it leaves while its registration does not say so.
func TestLeavingTargetGetsNoFurtherRequests(t *testing.T) {
	for _, f := range []replica.Faults{{Leaving: "1"}, {Leaving: "1", Status: 500}, {Leaving: "1", RejectAll: true}} {
		r := newFixture(t, 2)
		registered := []balance.Target{r.replicas[0].Target(testService), r.replicas[1].Target(testService)}
		r.replicas[0].SetFaults(f)
		r.handler.Targets.Apply(registered[:1])
		r.post("first", "/safe/")
		before := len(r.replicas[0].Runs()) + r.replicas[0].Rejected()
		assert.Equal(t, before, 1)
		r.handler.Targets.Apply(registered)
		for i := range 20 {
			assert.Equal(t, r.post("r"+strconv.Itoa(i), "/safe/").status, http.StatusOK)
		}
		assert.Equal(t, len(r.replicas[0].Runs())+r.replicas[0].Rejected(), before)
	}
}

// Guards against a stream that is cut off, or sent to another target, because its target says in the header that it leaves.
func TestStreamOfLeavingTargetIsCompleted(t *testing.T) {
	r := newFixture(t, 1)
	r.replicas[0].SetFaults(replica.Faults{Leaving: "1"})
	got := r.post("r1", "/stream/")
	assert.Equal(t, got.body, eventStream("r1", r.replicas[0].EventCount))
	refused := r.post("r2", "/stream/")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.totalRuns(), 1)
}

// Guards against a value that cannot be read and takes a target out of use.
func TestUnreadableLeavingHeaderIsIgnored(t *testing.T) {
	r := newFixture(t, 1)
	for _, value := range []string{"yes", "2", "0"} {
		r.replicas[0].SetFaults(replica.Faults{Leaving: value})
		assert.Equal(t, r.post("r"+value, "/safe/").status, http.StatusOK)
		assert.Equal(t, r.post("again"+value, "/safe/").status, http.StatusOK)
	}
}

// Guards against requests within the pause that a target has asked for, and against a refusal that brings callers back before its end.
func TestTargetThatAsksForPauseGetsNoRequests(t *testing.T) {
	r := newFixture(t, 1)
	r.replicas[0].SetFaults(replica.Faults{RejectAll: true, RetryAfter: "1.2"})
	start := time.Now()
	assert.Equal(t, r.post("r1", "/safe/").status, http.StatusServiceUnavailable)
	for i := 0; time.Since(start) < 900*time.Millisecond; i++ {
		refused := r.post("p"+strconv.Itoa(i), "/safe/")
		assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		if left := 1200*time.Millisecond - time.Since(start); left > retryAfterNoTarget {
			seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, seconds >= left.Seconds()-0.01, "Retry-After %v, pause left %v", seconds, left)
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, r.replicas[0].Rejected(), 1)
	r.replicas[0].SetFaults(replica.Faults{})
	time.Sleep(time.Until(start.Add(1700 * time.Millisecond)))
	assert.Equal(t, r.post("after", "/safe/").status, http.StatusOK)
}

// Guards against a pause for ever, or none, by values of Retry-After at the edge of what is allowed.
func TestRetryAfterOfTargets(t *testing.T) {
	for value, want := range map[string]time.Duration{"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "1e300": 5 * time.Minute, "1e999": 5 * time.Minute, "+Inf": 5 * time.Minute} {
		got, err := parseRetryAfter(value)
		assert.NilError(t, err, value)
		assert.Equal(t, got, want, value)
	}
	for _, value := range []string{"-1", "NaN", "soon", "", "-Inf", "Wed, 21 Oct 2026 07:28:00 GMT", strings.Repeat("9", 3) + "s"} {
		_, err := parseRetryAfter(value)
		assert.Assert(t, err != nil, value)
	}
}
