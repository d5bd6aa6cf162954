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

// readRow reads and decodes one table row.
func readRow[T any](t *testing.T, f *testFleet, key string) T {
	t.Helper()
	rows, err := f.table.Get(t.Context(), key)
	assert.NilError(t, err)
	var v T
	assert.NilError(t, json.Unmarshal(rows[0].Value, &v))
	return v
}

// Guards against a daemon that serves before it has a bundle, that loses an
// answer or its bill line, or that stops without closing its grants and marking
// its holder row as stopped.
func TestDaemonServesAndStops(t *testing.T) {
	f := newTestFleet(t)
	d := f.start(t, "h1")
	assert.Equal(t, adminStatus(t, d, "/readyz"), http.StatusServiceUnavailable)
	status, body := d.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no_bundle"), body)

	f.installBundle(t)
	d.waitForTargetReport(t)
	assert.Equal(t, adminStatus(t, d, "/readyz"), http.StatusOK)
	status, body = d.sendRequest(t, http.DefaultClient, "http", "Idempotency-Key", "r1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	line := readRow[budget.Line](t, f, budget.LineKey("regie", "r1"))
	assert.Assert(t, line.Completed)
	assert.Assert(t, line.Tokens > 8)

	incarnation := d.Incarnation()
	assert.NilError(t, d.stop(t))
	assert.Assert(t, readRow[lease.HolderRecord](t, f, lease.HolderKey(incarnation)).Stopped)
	b := readRow[budget.Record](t, f, budget.BudgetKey(testBudget))
	assert.Equal(t, b.Granted, int64(0))
	assert.Equal(t, b.Settled, line.Tokens)
}

// Guards against a fenced daemon that continues to use its old grants or does not
// serve again.
func TestDaemonRegistersAgainAfterFencing(t *testing.T) {
	f := newTestFleet(t)
	f.installBundle(t)
	d := f.start(t, "h1")
	d.waitForTargetReport(t)
	status, body := d.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	formerIncarnation := d.Incarnation()
	holder := readRow[lease.HolderRecord](t, f, lease.HolderKey(formerIncarnation))
	holder.Fenced = true
	f.putRow(t, lease.HolderKey(formerIncarnation), holder)
	waitFor(t, "new incarnation", func() bool { return d.Incarnation() != formerIncarnation })
	status, body = d.sendRequest(t, http.DefaultClient, "http", "Idempotency-Key", "r2")
	assert.Equal(t, status, http.StatusOK, body)
	line := readRow[budget.Line](t, f, budget.LineKey("regie", "r2"))
	assert.Equal(t, budget.HolderOfGrant(budget.GrantOfStream(line.Streams[0])), d.Incarnation())
	waitFor(t, "old grant closed", func() bool {
		return readRow[budget.GrantRecord](t, f, budget.GrantKey(formerIncarnation, budget.GrantID(formerIncarnation, 1))).State == budget.GrantClosed
	})
	assert.NilError(t, d.stop(t))
}

// Guards against an answer that waits for the table: while the table is down, an
// open grant covers the request and the bill line is stored afterwards. A
// non-idempotent request is refused, because its claim cannot be stored.
func TestDaemonServesWhileTableIsDown(t *testing.T) {
	f := newTestFleet(t)
	f.installBundle(t)
	d := f.start(t, "h1")
	d.waitForTargetReport(t)
	status, body := d.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusOK, body)
	assert.NilError(t, f.platform.SetFaults(standin.Faults{TableDown: true}))
	status, body = d.sendRequest(t, http.DefaultClient, "http", "Idempotency-Key", "r2")
	assert.Equal(t, status, http.StatusOK, body)
	status, body = d.sendRequest(t, http.DefaultClient, "http", "Idempotency-Key", "r3", "X-Peppertrail-Non-Idempotent", "true")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "claim_unavailable"), body)
	assert.Assert(t, strings.Contains(body, "may_have_run"), body)
	assert.NilError(t, f.platform.SetFaults(standin.Faults{}))
	waitFor(t, "bill line of the request during the outage stored", func() bool {
		rows, err := f.table.Get(t.Context(), budget.LineKey("regie", "r2"))
		return err == nil && rows[0].Version > 0
	})
	assert.NilError(t, d.stop(t))
}
