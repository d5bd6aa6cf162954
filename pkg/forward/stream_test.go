package forward

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// balanceTarget keeps the calls in the tests short.
type balanceTarget = balance.Target

// Guards against a whole stream that is not passed on as it is.
func TestStreamIsPassedOn(t *testing.T) {
	r := newFixture(t, 1)
	got := r.post("r1", "/stream/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, eventStream("r1", 5))
	assert.Equal(t, got.header.Get(replica.Signature), "t0")
}

// Guards against a resumed stream with a piece missing, twice or torn, and with
// headers of its second target.
func TestResumableStreamGoesOnAtAnotherTarget(t *testing.T) {
	for _, mid := range []bool{false, true} {
		r := newFixture(t, 2)
		r.replicas[0].SetFaults(replica.Faults{CutAfter: 2, CutMidEvent: mid})
		for _, id := range []string{"r1", "r2", "r3"} {
			got := r.post(id, "/resumable/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventStream(id, 5))
		}
	}
}

// Guards against the answer of a target that failed being put behind the events of
// the one before, as if it was a part of the stream.
func TestFailureIsNoPartOfAStream(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound, http.StatusNoContent} {
		r := newFixture(t, 2)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			r.replicas[0].SetFaults(replica.Faults{CutAfter: 2})
			r.replicas[1].SetFaults(replica.Faults{Status: status})
			got := r.post(id, "/resumable/x")
			if got.status == http.StatusOK {
				assert.Assert(t, got.err != nil, "a stream that looks whole: %q", got.body)
				assert.Equal(t, got.body, eventStream(id, 2))
			}
		}
	}
}

// Guards against a stream that is run again, or looks whole, after it broke off.
func TestBrokenStreamIsNotRunAgain(t *testing.T) {
	r := newFixture(t, 2)
	r.setFaults(replica.Faults{CutAfter: 3})
	got := r.post("r1", "/stream/x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, r.totalRuns(), 1)
}

// Guards against a stream without any event that ends as a success.
func TestStreamWithoutEventsIsAFailure(t *testing.T) {
	r := newFixture(t, 1)
	r.setFaults(replica.Faults{LoseAnswer: true})
	assert.Equal(t, r.post("r1", "/stream/x").status, http.StatusBadGateway)
}

// Guards against a resume from the caller that starts over.
func TestCallerMayResume(t *testing.T) {
	r := newFixture(t, 1)
	got := r.post("r1", "/resumable/x", "Last-Event-Id", "3")
	assert.Equal(t, got.body, eventStream("r1", 5)[len(eventStream("r1", 3)):])
}

// Guards against a budget that pays for more or less than was delivered.
func TestBudgetPaysForWhatWasDelivered(t *testing.T) {
	r := newFixture(t, 1)
	d := dialect.Default()
	spent := func() int64 {
		for _, s := range r.budgets.Status() {
			if s.Reserved == 0 {
				return s.Spent
			}
		}
		return -1
	}
	r.post("r1", "/stream/x", d.Cost, "prompt=100 output=200")
	assert.Equal(t, spent(), int64(150))
	r.setFaults(replica.Faults{Full: true})
	r.post("r2", "/stream/x", d.Cost, "prompt=100 output=200")
	assert.Equal(t, spent(), int64(150))
	time.Sleep(rejectionPauseMargin)
	r.setFaults(replica.Faults{LoseAnswer: true})
	r.post("r3", "/stream/x", d.Cost, "prompt=100 output=200")
	assert.Equal(t, spent(), int64(250))
	r.setFaults(replica.Faults{})
	time.Sleep(rejectionPauseMargin)
	assert.Equal(t, r.post("r4", "/stream/x", d.Cost, "prompt=700 output=51").status, http.StatusPaymentRequired)
	_, err := r.budgets.Reserve(t.Context(), "regie", 751)
	assert.Assert(t, errors.Is(err, escrow.ErrExhausted), "%v", err)
}

// rejectionPauseMargin outlasts the pause after a rejection.
const rejectionPauseMargin = 300 * time.Millisecond

// Guards against events that change where the bytes are cut into reads.
func TestEventsAreIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := eventStream("r", 6) + "id: 7\r\ndata: x\r\n\r\n" + "tail"
		splitter := &eventSplitter{}
		joined, ids := "", 0
		for remainder := stream; remainder != ""; {
			n := rapid.IntRange(1, len(remainder)).Draw(t, "n")
			for _, e := range splitter.add([]byte(remainder[:n])) {
				joined += string(e.raw)
				if e.id != "" {
					ids++
				}
			}
			remainder = remainder[n:]
		}
		assert.Equal(t, joined+string(splitter.remainder()), stream)
		assert.Equal(t, ids, 7)
	})
}
