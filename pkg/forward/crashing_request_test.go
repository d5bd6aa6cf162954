package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// maxCrashedTargets is how many targets a request may crash before it is refused.
const maxCrashedTargets = 3

// Guards against a request that is repeated under new ids and crashes more targets
// than the limit, and against refusing other requests because of it.
func TestCrashingRequestIsRefusedAfterLimit(t *testing.T) {
	r := newFixture(t, 6)
	r.setFaults(replica.Faults{LoseResponse: true})
	for i := range 40 {
		r.postBody(fmt.Sprint("r", i), "/unsafe/x", "crash")
	}
	crashed := 0
	for _, target := range r.replicas {
		if len(target.Runs()) > 0 {
			crashed++
		}
	}
	assert.Equal(t, crashed, maxCrashedTargets)
	refused := r.postBody("r8", "/unsafe/x", "crash")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	r.setFaults(replica.Faults{})
	time.Sleep(rejectionBackoffWait)
	assert.Equal(t, r.postBody("r9", "/unsafe/x", "another").status, http.StatusOK)
}

// Guards against refusing a frequent request whose connections sometimes break but
// which targets have answered since.
func TestAnsweredRequestIsNotRefusedAsCrashing(t *testing.T) {
	r := newFixture(t, 6)
	for range 2 * maxCrashedTargets {
		r.setFaults(replica.Faults{LoseResponse: true})
		r.postBody("broken", "/unsafe/x", "popular")
		r.setFaults(replica.Faults{})
		assert.Equal(t, r.postBody("answered", "/unsafe/x", "popular").status, http.StatusOK)
	}
}
