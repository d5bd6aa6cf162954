package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testTTL = 15 * time.Second

// Guards against a role that is acquired while its holder renews, or that is
// never acquired after its holder stops.
func TestRoleWatchWaitsForTTL(t *testing.T) {
	w := roleWatch{self: "b", ttl: testTTL}
	now := time.Now()
	record := RoleRecord{Role: "repair", Holder: "a", Fencing: 1}
	assert.Assert(t, !w.observe(&record, now))
	record.Renewals++
	now = now.Add(testTTL)
	assert.Assert(t, !w.observe(&record, now))
	assert.Assert(t, !w.observe(&record, now.Add(testTTL-1)))
	assert.Assert(t, w.observe(&record, now.Add(testTTL)))
}

// Guards against waiting for a role that is absent, released or already this daemon's.
func TestRoleWatchAllowsFreeRoleAtOnce(t *testing.T) {
	w := roleWatch{self: "b", ttl: testTTL}
	now := time.Now()
	assert.Assert(t, w.observe(nil, now))
	assert.Assert(t, w.observe(&RoleRecord{Fencing: 3}, now))
	assert.Assert(t, w.observe(&RoleRecord{Holder: "b", Fencing: 3}, now))
}

// Guards against a new holder whose role is taken over too early because the time
// during which the row of the previous holder was unchanged is counted too.
func TestRoleWatchRestartsWithNewHolder(t *testing.T) {
	w := roleWatch{self: "c", ttl: testTTL}
	now := time.Now()
	w.observe(&RoleRecord{Holder: "a", Fencing: 1}, now)
	w.observe(nil, now.Add(testTTL))
	assert.Assert(t, !w.observe(&RoleRecord{Holder: "a", Fencing: 1}, now.Add(testTTL)))
	assert.Assert(t, !w.observe(&RoleRecord{Holder: "b", Fencing: 2}, now.Add(2*testTTL)))
}

// Guards against a fencing number that repeats or decreases in any sequence of
// take-overs, renewals and releases.
func TestFencingNumberIncreasesWithTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var record *RoleRecord
		highest := uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			step := rapid.IntRange(0, 2).Draw(t, "step")
			if record == nil || step == 0 {
				next := takeOver("r", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "self"), record)
				if next.Fencing <= highest {
					t.Fatalf("take-over got fencing number %d, which is not above the earlier %d", next.Fencing, highest)
				}
				highest = next.Fencing
				record = &next
				continue
			}
			next := renewal(*record)
			if step == 2 {
				next = released(*record)
			}
			if next.Fencing != highest || next.Renewals <= record.Renewals {
				t.Fatalf("new role row %+v changes the fencing number or does not increase Renewals; previous row %+v", next, *record)
			}
			record = &next
		}
	})
}
