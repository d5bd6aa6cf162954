package commit

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// plannedOp is one op of a generated run. It writes a marker row of its own and
// a row shared with other ops.
type plannedOp struct {
	shared  int           // number of the shared row
	insert  bool          // requires that the shared row is absent
	delay   time.Duration // time before the submission
	results []Result
}

func (p *plannedOp) op(marker string) Op {
	shared := fmt.Sprintf("shared/%d", p.shared)
	op := putOp(marker)
	op.Puts = append(op.Puts, putOp(shared).Puts...)
	if p.insert {
		op.Conditions = []storage.Condition{{Key: shared}}
	}
	op.Done = func(r Result) { p.results = append(p.results, r) }
	return op
}

func drawOps(t *rapid.T) []*plannedOp {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *plannedOp {
		return &plannedOp{
			shared: rapid.IntRange(0, 4).Draw(t, "shared"),
			insert: rapid.Bool().Draw(t, "insert"),
			delay:  time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "ops")
}

// Guards against an op that is applied twice, applied but reported as not
// applied, reported twice or never, or applied after a later op on the same key.
func TestEachOpIsAppliedOnceOrReportedAsFailed(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		ops := drawOps(t)
		faults := rapid.SliceOfN(rapid.SampledFrom([]callFault{noFault, noFault, notReceived, replyLost, txnRejected}), 0, 40).Draw(t, "faults")
		fenceAt := rapid.IntRange(1, 80).Draw(t, "fence at call")
		maxOps := rapid.IntRange(1, 16).Draw(t, "max ops")
		var err error // rapid's Fatal must not be called inside the bubble, which has its own goroutine
		synctest.Test(test, func(bubble *testing.T) { err = runOps(bubble, ops, faults, fenceAt, maxOps) })
		if err != nil {
			t.Fatal(err)
		}
	})
}

func runOps(t *testing.T, ops []*plannedOp, faults []callFault, fenceAt, maxOps int) error {
	table := newFakeTable()
	calls := 0
	fenced := false
	table.before = func(storage.Txn) callFault {
		calls++
		if calls == fenceAt {
			table.write(testHolderKey, `{"incarnation":"d1","fenced":true}`)
			fenced = true
		}
		if calls%7 == 0 {
			table.write(fmt.Sprintf("shared/%d", calls%5), fmt.Sprint(calls))
		}
		if calls <= len(faults) {
			return faults[calls-1]
		}
		return noFault
	}
	f := newFixture(t, table, Options{MaxOps: maxOps})
	f.start()
	for i, p := range ops {
		f.Submit(p.op(fmt.Sprintf("marker/%d", i)))
		time.Sleep(p.delay)
	}
	time.Sleep(time.Minute)
	f.stop()
	synctest.Wait()
	return checkResults(table, ops, fenced)
}

func checkResults(table *fakeTable, ops []*plannedOp, fenced bool) error {
	lastRevision := map[int]uint64{}
	for i, p := range ops {
		marker := fmt.Sprintf("marker/%d", i)
		if len(p.results) != 1 {
			return fmt.Errorf("op %d got %d results, want 1", i, len(p.results))
		}
		r := p.results[0]
		if r.Err != nil {
			if table.applied[marker] != 0 {
				return fmt.Errorf("op %d: applied but reported %v", i, r.Err)
			}
			if errors.Is(r.Err, ErrStopped) || errors.Is(r.Err, ErrFenced) && !fenced {
				return fmt.Errorf("op %d failed although nothing stopped or fenced the committer: %v", i, r.Err)
			}
			continue
		}
		if table.applied[marker] != 1 || table.row(marker).Version != r.Revision {
			return fmt.Errorf("op %d: applied %d times, version %d, revision %d", i, table.applied[marker], table.row(marker).Version, r.Revision)
		}
		if r.Revision <= lastRevision[p.shared] {
			return fmt.Errorf("op %d: not applied after the earlier ops on shared row %d", i, p.shared)
		}
		lastRevision[p.shared] = r.Revision
	}
	return nil
}
