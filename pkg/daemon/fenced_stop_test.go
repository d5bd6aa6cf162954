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
	f := newTestFleet(t)
	f.installBundle(t)
	d := f.start(t, "h1", "--drain-timeout", "10s")
	d.waitForTargetReport(t)
	status, body := d.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	formerIncarnation := d.Incarnation()
	d.cancel()
	waitFor(t, "daemon in a phase after serving", d.lifecycle.stopBegun)
	holder := readRow[lease.HolderRecord](t, f, lease.HolderKey(formerIncarnation))
	holder.Fenced = true
	f.putRow(t, lease.HolderKey(formerIncarnation), holder)
	assert.NilError(t, d.stop(t))
	assert.Assert(t, d.Incarnation() != formerIncarnation)
	assert.Assert(t, readRow[lease.HolderRecord](t, f, lease.HolderKey(d.Incarnation())).Stopped)
	assert.Assert(t, strings.Contains(d.logs.String(), "Daemon stopped."))
}
