package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
)

func encode(t *testing.T, v any) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

// row reads and decodes one table row.
func row[T any](t *testing.T, r *rig, key string) T {
	t.Helper()
	rows, err := r.table.Get(t.Context(), key)
	assert.NilError(t, err)
	var v T
	assert.NilError(t, json.Unmarshal(rows[0].Value, &v))
	return v
}

// Guards against a daemon that serves before it knows a bundle, that loses an
// answer or its bill, or that leaves grants and its row open when it stops.
func TestDaemonServesAndStops(t *testing.T) {
	r := newRig(t)
	d := r.start(t, "h1")
	assert.Equal(t, adminStatus(t, d, "/readyz"), http.StatusServiceUnavailable)
	status, body := d.ask(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no_bundle"), body)

	r.install(t)
	d.usable(t)
	assert.Equal(t, adminStatus(t, d, "/readyz"), http.StatusOK)
	status, body = d.ask(t, http.DefaultClient, "http", "Idempotency-Key", "r1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	line := row[budget.Line](t, r, budget.LineKey("regie", "r1"))
	assert.Assert(t, line.Completed)
	assert.Assert(t, line.Tokens > 8)

	incarnation := d.Incarnation()
	assert.NilError(t, d.stop(t))
	assert.Assert(t, row[lease.HolderRecord](t, r, lease.HolderKey(incarnation)).Stopped)
	b := row[budget.Record](t, r, budget.BudgetKey(testBudget))
	assert.Equal(t, b.Granted, int64(0))
	assert.Equal(t, b.Settled, line.Tokens)
}

// Guards against a fenced daemon that goes on with its old grants and never
// serves again.
func TestDaemonRegistersAgainAfterFencing(t *testing.T) {
	r := newRig(t)
	r.install(t)
	d := r.start(t, "h1")
	d.usable(t)
	status, body := d.ask(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	before := d.Incarnation()
	holder := row[lease.HolderRecord](t, r, lease.HolderKey(before))
	holder.Fenced = true
	r.put(t, lease.HolderKey(before), holder)
	waitFor(t, "new incarnation", func() bool { return d.Incarnation() != before })
	status, body = d.ask(t, http.DefaultClient, "http", "Idempotency-Key", "r2")
	assert.Equal(t, status, http.StatusOK, body)
	line := row[budget.Line](t, r, budget.LineKey("regie", "r2"))
	assert.Equal(t, budget.HolderOfGrant(budget.GrantOfStream(line.Streams[0])), d.Incarnation())
	waitFor(t, "old grant closed", func() bool {
		return row[budget.GrantRecord](t, r, budget.GrantKey(before, budget.GrantID(before, 1))).State == budget.GrantClosed
	})
	assert.NilError(t, d.stop(t))
}

// Guards against an answer that waits for the table: with the table down, a
// running grant covers the request and the line follows later.
func TestDaemonServesWhileTableIsDown(t *testing.T) {
	r := newRig(t)
	r.install(t)
	d := r.start(t, "h1")
	d.usable(t)
	status, body := d.ask(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	assert.NilError(t, r.platform.SetFaults(standin.Faults{TableDown: true}))
	status, body = d.ask(t, http.DefaultClient, "http", "Idempotency-Key", "r2")
	assert.Equal(t, status, http.StatusOK, body)
	status, body = d.ask(t, http.DefaultClient, "http", "Idempotency-Key", "r3", "X-Peppertrail-Non-Idempotent", "true")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "claim_unavailable"), body)
	assert.Assert(t, strings.Contains(body, "may_have_run"), body)
	assert.NilError(t, r.platform.SetFaults(standin.Faults{}))
	waitFor(t, "line of the outage durable", func() bool {
		rows, err := r.table.Get(t.Context(), budget.LineKey("regie", "r2"))
		return err == nil && rows[0].Version > 0
	})
	assert.NilError(t, d.stop(t))
}
