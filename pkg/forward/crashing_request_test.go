package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

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

// Guards against a host that counts only the crashes that it records itself, so that
// a request sent to several hosts crashes more targets than the limit.
func TestCrashesAreAnnouncedToOtherHosts(t *testing.T) {
	a, b := NewCrashTracker(), NewCrashTracker()
	now := time.Now()
	a.Announce = func(fingerprint uint64, target string) { b.Record(fingerprint, target, now) }
	for i := range maxCrashedTargets {
		assert.Assert(t, !b.IsRefused(7, now))
		a.RecordAndAnnounce(7, fmt.Sprint("t", i), now)
		a.RecordAndAnnounce(7, fmt.Sprint("t", i), now) // the same target again
	}
	assert.Assert(t, a.IsRefused(7, now) && b.IsRefused(7, now))
	assert.Assert(t, !b.IsRefused(8, now))
	assert.Assert(t, !b.IsRefused(7, now.Add(crashRecordTTL)))
}
