package daemon

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

// Guards against a graceful stop that fails because another daemon fenced this
// one after the stop began, as happens to a daemon whose process was paused.
func TestFencedDaemonStopsGracefully(t *testing.T) {
	r := newTestFleet(t)
	r.installBundle(t)
	d := r.start(t, "h1", "--drain-timeout", "10s")
	d.waitForTargetReport(t)
	status, body := d.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	before := d.Incarnation()
	d.cancel()
	waitFor(t, "daemon in a phase after serving", d.lifecycle.leaving)
	holder := readRow[lease.HolderRecord](t, r, lease.HolderKey(before))
	holder.Fenced = true
	r.putRow(t, lease.HolderKey(before), holder)
	assert.NilError(t, d.stop(t))
	assert.Assert(t, d.Incarnation() != before)
	assert.Assert(t, readRow[lease.HolderRecord](t, r, lease.HolderKey(d.Incarnation())).Stopped)
	assert.Assert(t, strings.Contains(d.logs.String(), "Daemon stopped."))
}
