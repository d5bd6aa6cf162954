package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stream numbers above the durable limit: the look-up after the
// holder was fenced would miss the streams that ran under them.
func TestReserveStopsAtStreamLimit(t *testing.T) {
	l := NewLedger()
	now := time.Unix(0, 0)
	l.Open(now, GrantRecord{ID: "h-1", Holder: "h", Budget: "b", Amount: 100, Streams: 2})
	for range 2 {
		_, ok := l.Reserve(now, "b", 1)
		assert.Assert(t, ok)
	}
	_, ok := l.Reserve(now, "b", 1)
	assert.Assert(t, !ok)
	l.RaiseStreamLimit("h-1", 3)
	r, ok := l.Reserve(now, "b", 1)
	assert.Assert(t, ok)
	assert.Equal(t, r.Stream, "h-1.2")
}

// Guards against a stream that counts as settled before its bill line is
// durable, and against one that never counts as settled.
func TestLedgerRecordsSettledStreams(t *testing.T) {
	l := NewLedger()
	now := time.Unix(0, 0)
	l.Open(now, GrantRecord{ID: "h-1", Holder: "h", Budget: "b", Amount: 100, Streams: 10})
	first, _ := l.Reserve(now, "b", 10)
	second, _ := l.Reserve(now, "b", 10)
	_, err := l.Settle(now, first.Stream, 7)
	assert.NilError(t, err)
	_, err = l.Settle(now, second.Stream, 0)
	assert.NilError(t, err)
	l.MarkUndispatched(second.Stream)
	record, _ := l.Record("h-1")
	assert.DeepEqual(t, record.Settled.Missing(2), []int64{0})
	assert.NilError(t, l.MarkDurable(first.Stream, 7))
	record, _ = l.Record("h-1")
	assert.Equal(t, len(record.Settled.Missing(2)), 0)
	assert.Equal(t, record.Used, int64(7))
}
