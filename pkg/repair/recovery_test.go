package repair

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// fakeEvidence is an Evidence with fixed values.
type fakeEvidence struct {
	statuses     map[string]DaemonStatus // by incarnation
	changed      time.Time               // result of LastChange; zero if not known
	noTargetLost bool
	usage        map[string]int64 // tokens used, by "<target id>/<stream id>"
	usageErr     error
	callCost     int64
}

func (e *fakeEvidence) QueryDaemon(_ context.Context, d lease.HolderRecord, _ string) (DaemonStatus, error) {
	status, ok := e.statuses[d.Incarnation]
	if !ok {
		return DaemonStatus{}, errors.New("no answer")
	}
	return status, nil
}

func (e *fakeEvidence) LastChange(string) (time.Time, bool) {
	return e.changed, !e.changed.IsZero()
}

func (e *fakeEvidence) Targets(time.Time) ([]target.Target, bool) {
	return []target.Target{{ID: "t1"}, {ID: "t2"}}, e.noTargetLost
}

func (e *fakeEvidence) Usage(_ context.Context, t target.Target, stream string) (int64, bool, error) {
	tokens, known := e.usage[t.ID+"/"+stream]
	return tokens, known, e.usageErr
}

func (e *fakeEvidence) CallCost() int64 { return e.callCost }

// Guards against tokens that are returned to a budget although they may have
// been spent, and against tokens that stay written off although it is known that
// they were not spent.
func TestRecoveryReturnsOnlyTokensProvenUnspent(t *testing.T) {
	const writtenOff = 70
	cases := []struct {
		desc   string
		change func(*fakeEvidence)
		kept   int64 // number of written-off tokens that stay charged
	}{
		{"all evidence is known and no stream ran", func(*fakeEvidence) {}, 0},
		{"a stream without a bill line ran", func(e *fakeEvidence) { e.usage["t2/dead-1.2"] = 25 }, 25},
		{"a stream with a bill line is not charged twice", func(e *fakeEvidence) { e.usage["t1/dead-1.0"] = 30 }, 0},
		{"targets used more tokens than were written off", func(e *fakeEvidence) { e.usage["t1/dead-1.2"] = 900 }, writtenOff},
		{"calls of plain services cannot be queried and stay charged", func(e *fakeEvidence) { e.callCost = 5 }, 15},
		{"the process of the holder still runs", func(e *fakeEvidence) { e.statuses["dead"] = DaemonStatus{Home: "dead"} }, writtenOff},
		{"the daemon of the holder does not answer", func(e *fakeEvidence) { delete(e.statuses, "dead") }, writtenOff},
		{"the process of the holder registered under a new incarnation", func(e *fakeEvidence) { e.statuses["dead"] = DaemonStatus{Home: "dead2"} }, 0},
		{"a daemon has open attempts on the grants of the holder", func(e *fakeEvidence) { e.statuses["live"] = DaemonStatus{Home: "live", Open: 1} }, writtenOff},
		{"a daemon does not answer", func(e *fakeEvidence) { delete(e.statuses, "live") }, writtenOff},
		{"a target was lost", func(e *fakeEvidence) { e.noTargetLost = false }, writtenOff},
		{"a target does not answer", func(e *fakeEvidence) { e.usageErr = errors.New("reset") }, writtenOff},
		{"the last change of the holder row is older than the stream retention", func(e *fakeEvidence) { e.changed = time.Now().Add(-StreamRetention) }, writtenOff},
		{"the time of the last change of the holder row is unknown", func(e *fakeEvidence) { e.changed = time.Time{} }, writtenOff},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			e := &fakeEvidence{
				statuses:     map[string]DaemonStatus{"dead": {Gone: true}, "live": {Home: "live"}},
				changed:      time.Now(),
				noTargetLost: true,
				usage:        make(map[string]int64),
			}
			tc.change(e)
			table := standin.New().Local()
			r := testRepairer(t, table)
			r.opts.Evidence = e
			put(t, table, lease.HolderKey("dead"), lease.HolderRecord{Incarnation: "dead", Fenced: true})
			put(t, table, lease.HolderKey("live"), lease.HolderRecord{Incarnation: "live"})
			put(t, table, budget.BudgetKey("b"), budget.Record{ID: "b", Limit: 200, Granted: 100})
			put(t, table, budget.GrantKey("dead", "dead-1"), budget.GrantRecord{
				ID: "dead-1", Holder: "dead", Budget: "b", Amount: 100, Used: 30, State: budget.GrantOpen,
				Streams: 4, Settled: budget.StreamSet{Below: 1},
			})
			assert.NilError(t, r.Pass(t.Context(), time.Now()))
			assert.NilError(t, r.Pass(t.Context(), time.Now()))
			rows, err := table.Get(t.Context(), budget.BudgetKey("b"), budget.GrantKey("dead", "dead-1"))
			assert.NilError(t, err)
			var b budget.Record
			var g budget.GrantRecord
			assert.NilError(t, json.Unmarshal(rows[0].Value, &b))
			assert.NilError(t, json.Unmarshal(rows[1].Value, &g))
			assert.Equal(t, b.Granted, int64(0))
			assert.Equal(t, b.Settled, 30+tc.kept)
			assert.Equal(t, g.WrittenOff, tc.kept)
		})
	}
}
