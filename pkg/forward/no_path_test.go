package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Guards against requests that wait for one connection after another on a host that reaches no target, and against refusing once a target is reached again.
func TestRequestWithoutPathToTargetsIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	var lost, back []balance.Target
	for i, r := range f.replicas {
		target := r.Target(testService)
		back = append(back, target)
		target.Addr = fmt.Sprintf("127.0.0.1:%d", 1+i) // refuses connections
		lost = append(lost, target)
	}
	f.handler.Targets.Apply(lost)
	assert.Equal(t, f.post("first", "/unsafe/x").status, http.StatusServiceUnavailable)
	time.Sleep(600 * time.Millisecond)
	start := time.Now()
	answer := f.post("r1", "/unsafe/x")
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Equal(t, answer.body, "no_path\n")
	assert.Assert(t, answer.closed && answer.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Equal(t, f.totalRuns(), 0)

	f.handler.Targets.Apply(back)
	f.handler.Targets.RecordReached(testService)
	assert.Equal(t, f.post("r2", "/unsafe/x").status, http.StatusOK)
}
