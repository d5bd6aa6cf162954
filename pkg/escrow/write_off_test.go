package escrow

import (
	"bufio"
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against write-offs whose parts do not add up to the tokens that the closing of
// a share counts as spent.
func TestWriteOffPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		used := rapid.Int64Range(0, 100_000).Draw(t, "used")
		u := Usage{
			Epoch: rapid.IntRange(0, 1).Draw(t, "epoch"), Used: used, Ceiling: used + rapid.Int64Range(0, 10_000).Draw(t, "headroom"),
			CeilingRate: rapid.Int64Range(0, 10_000).Draw(t, "rate"), SustainedRate: rapid.Int64Range(0, 10_000).Draw(t, "sustained rate"), Burst: rapid.Int64Range(0, 10_000).Draw(t, "burst"),
		}
		e := EndedProcess{
			Report:  UsageReport{Customers: map[string]Usage{"c": u}},
			EndedBy: time.Duration(rapid.Int64Range(0, int64(2*leaseDuration)).Draw(t, "age")),
		}
		s := Share{Amount: rapid.Int64Range(0, 200_000).Draw(t, "amount")}
		w := e.writeOff("c", s)
		assert.Equal(t, w.reported+w.total(), e.maxSpent("c", s))
		assert.Assert(t, w.reported >= 0 && w.headroom >= 0 && w.risen >= 0 && w.unlisted >= 0)
	})
}

// Guards against a process that is killed while it cannot report, and whose loss of
// tokens then appears neither in the log nor in the counter.
func TestWriteOffIsLoggedAndCounted(t *testing.T) {
	c := newTestCluster(t, 1)
	var lines lockedBuffer
	var mu sync.Mutex
	counted := make(map[WriteOffCause]int64)
	c.log = &lines
	c.countWrittenOff = func(cause WriteOffCause, tokens int64) {
		mu.Lock()
		defer mu.Unlock()
		counted[cause] += tokens
	}
	budget := map[string]int64{"regie": 1_000_000}
	first := c.start("a", "a1", budget)
	spent := spendFor(t, first, 3*reportInterval)
	c.eventually("spent tokens reported", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.ownReports.confirmed.report.Customers["regie"].Used > 0
	})
	first.cancel()
	c.advanceClock(ceilingTerm + 3*time.Second)
	c.start("a", "a2", budget)
	var recovered *recoveryLine
	c.eventually("recovery of the account logged", func() bool {
		recovered = lines.find(t, "Recovered an account from ended processes.")
		return recovered != nil
	})
	account := c.account("regie")
	assert.Equal(t, recovered.Processes, 1)
	assert.Equal(t, recovered.Prepaid, int64(1_000_000))
	assert.Equal(t, recovered.UnspentAfter, 1_000_000-account.Settled)
	assert.Equal(t, recovered.UnspentBefore-recovered.UnspentAfter, recovered.WrittenOff)
	assert.Assert(t, recovered.WrittenOff >= account.Settled-spent, "%d tokens settled, %d spent, %d written off", account.Settled, spent, recovered.WrittenOff)
	assert.Assert(t, recovered.OldestReportAge >= 3000, "report age %f ms", recovered.OldestReportAge)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, counted[WriteOffHeadroom]+counted[WriteOffRisen]+counted[WriteOffUnlisted], recovered.WrittenOff)
	assert.Assert(t, counted[WriteOffRisen] > 0)
}

// recoveryLine is a log line about an account recovered from ended processes.
type recoveryLine struct {
	Message         string  `json:"message"`
	Processes       int     `json:"processes"`
	Prepaid         int64   `json:"prepaid"`
	UnspentBefore   int64   `json:"unspent_before"`
	UnspentAfter    int64   `json:"unspent_after"`
	WrittenOff      int64   `json:"written_off"`
	OldestReportAge float64 `json:"oldest_report_age"`
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// find returns the first line with the given message, or nil.
func (b *lockedBuffer) find(t *testing.T, message string) *recoveryLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for lines := bufio.NewScanner(bytes.NewReader(b.data.Bytes())); lines.Scan(); {
		var line recoveryLine
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &line))
		if line.Message == message {
			return &line
		}
	}
	return nil
}
