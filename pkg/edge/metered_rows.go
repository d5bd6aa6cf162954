package edge

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// meteredRows counts the direct calls to the store by table and result, and the
// bytes of the rows that they transfer. It shows which table takes how much of the
// host's link.
type meteredRows struct {
	rows     storage.Rows
	calls    *prometheus.CounterVec
	received *prometheus.CounterVec
	sent     *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

var _ storage.Rows = (*meteredRows)(nil)

func newMeteredRows(rows storage.Rows, registry prometheus.Registerer) *meteredRows {
	m := &meteredRows{
		rows:     rows,
		calls:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_store_calls_total", Help: "Direct calls to the store, by table, method and result."}, []string{"table", "method", "result"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_store_received_bytes_total", Help: "Keys and values of rows received from the store, in bytes, by table."}, []string{"table"}),
		sent:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_store_sent_bytes_total", Help: "Keys and values of rows sent to the store, in bytes, by table."}, []string{"table"}),
		seconds:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "peppertrail_edge_store_call_seconds", Help: "Duration of direct calls to the store, by table and method. Feed calls include the wait for a change.", Buckets: latencyBucketsSeconds}, []string{"table", "method"}),
	}
	registry.MustRegister(m.calls, m.received, m.sent, m.seconds)
	return m
}

// Transact implements storage.Rows.
func (m *meteredRows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	start := time.Now()
	outcome, err := m.rows.Transact(ctx, txn)
	table := tableOf(txn)
	m.record(table, "transact", start, outcome.Current, err)
	m.sent.WithLabelValues(table).Add(float64(rowBytes(txn.Puts)))
	return outcome, err
}

// Range implements storage.Rows.
func (m *meteredRows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	start := time.Now()
	page, err := m.rows.Range(ctx, table, part, from)
	m.record(table, "range", start, page.Rows, err)
	return page, err
}

// Parts implements storage.Rows.
func (m *meteredRows) Parts(ctx context.Context, table string) ([]string, error) {
	start := time.Now()
	parts, err := m.rows.Parts(ctx, table)
	m.record(table, "parts", start, nil, err)
	return parts, err
}

// Feed implements storage.Rows.
func (m *meteredRows) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	start := time.Now()
	page, err := m.rows.Feed(ctx, table, since, wait)
	m.record(table, "feed", start, page.Rows, err)
	return page, err
}

func (m *meteredRows) record(table, method string, start time.Time, received []storage.PartRow, err error) {
	m.calls.WithLabelValues(table, method, callResult(err)).Inc()
	m.received.WithLabelValues(table).Add(float64(rowBytes(received)))
	m.seconds.WithLabelValues(table, method).Observe(time.Since(start).Seconds())
}

// tableOf returns the table of a transaction that changes rows of one table.
func tableOf(txn storage.RowTxn) string {
	switch {
	case len(txn.Puts) > 0:
		return txn.Puts[0].Table
	case len(txn.Removes) > 0:
		return txn.Removes[0].Table
	case len(txn.Preconditions) > 0:
		return txn.Preconditions[0].Table
	}
	return ""
}

func rowBytes(rows []storage.PartRow) int {
	total := 0
	for _, r := range rows {
		total += len(r.Table) + len(r.Part) + len(r.Key) + len(r.Value)
	}
	return total
}

// callResult names the result of a call in metrics.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, storage.ErrThrottled):
		return "throttled"
	case errors.Is(err, storage.ErrNotApplied):
		return "refused"
	case errors.Is(err, storage.ErrHistoryGone):
		return "history_gone"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "unavailable"
}
