package daemon

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

// Guards against a graceful stop that fails because another daemon took this
// one for dead after the stop began, as happens to a daemon that was paused.
func TestFencedDaemonStopsGracefully(t *testing.T) {
	r := newRig(t)
	r.install(t)
	d := r.start(t, "h1", "--drain-timeout", "10s")
	d.usable(t)
	status, body := d.ask(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	before := d.Incarnation()
	d.cancel()
	waitFor(t, "daemon leaving", d.life.leaving)
	holder := row[lease.HolderRecord](t, r, lease.HolderKey(before))
	holder.Fenced = true
	r.put(t, lease.HolderKey(before), holder)
	assert.NilError(t, d.stop(t))
	assert.Assert(t, d.Incarnation() != before)
	assert.Assert(t, row[lease.HolderRecord](t, r, lease.HolderKey(d.Incarnation())).Stopped)
	assert.Assert(t, strings.Contains(d.logs.String(), "Daemon stopped."))
}
