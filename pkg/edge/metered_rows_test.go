package edge

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against metrics that cannot tell which table fills the link to the store, or
// that count failed calls as successful.
func TestStoreTrafficIsCountedByTable(t *testing.T) {
	m := newMetrics()
	client := rowstore.New(nil).Client()
	rows := newMeteredRows(client, m.registry)
	key := storage.RowKey{Table: "reports", Part: "p", Key: "k"}
	_, err := rows.Transact(t.Context(), storage.RowTxn{Puts: []storage.PartRow{{RowKey: key, Value: []byte(strings.Repeat("x", 100))}}})
	assert.NilError(t, err)
	_, err = rows.Feed(t.Context(), "reports", storage.Version{}, time.Second)
	assert.NilError(t, err)
	_, err = rows.Range(t.Context(), "accounts", "", "")
	assert.NilError(t, err)
	client.SetFaults(rowstore.Faults{Refuse: true})
	_, err = rows.Feed(t.Context(), "reports", storage.Version{}, time.Second)
	assert.ErrorIs(t, err, storage.ErrNotApplied)

	page := httptest.NewRecorder()
	m.handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`peppertrail_edge_store_sent_bytes_total{table="reports"} 109`,
		`peppertrail_edge_store_received_bytes_total{table="reports"} 109`,
		`peppertrail_edge_store_received_bytes_total{table="accounts"} 0`,
		`peppertrail_edge_store_calls_total{method="feed",result="ok",table="reports"} 1`,
		`peppertrail_edge_store_calls_total{method="feed",result="refused",table="reports"} 1`,
	} {
		assert.Assert(t, strings.Contains(page.Body.String(), line+"\n"), "no line %q in:\n%s", line, page.Body)
	}
}

// Guards against a metric of written-off tokens that does not tell their causes apart.
func TestWrittenOffTokensAreCountedByCause(t *testing.T) {
	m := newMetrics()
	m.countWrittenOff(escrow.WriteOffHeadroom, 20)
	m.countWrittenOff(escrow.WriteOffRisen, 300)
	m.countWrittenOff(escrow.WriteOffRisen, 4)
	page := httptest.NewRecorder()
	m.handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`peppertrail_edge_budget_written_off_tokens_total{cause="headroom"} 20`,
		`peppertrail_edge_budget_written_off_tokens_total{cause="rising_limit"} 304`,
	} {
		assert.Assert(t, strings.Contains(page.Body.String(), line+"\n"), "no line %q in:\n%s", line, page.Body)
	}
}
