package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

const (
	testTTL      = 15 * time.Second
	testInterval = 5 * time.Second
)

// simulation feeds a tracker one scan of a set of holder rows per interval.
type simulation struct {
	tracker tracker
	now     time.Time
	version uint64
	rows    map[string]holderRow
}

func newSimulation(holders ...string) *simulation {
	s := &simulation{
		tracker: tracker{self: "self", ttl: testTTL, maxGap: 2 * testInterval},
		now:     time.Now(),
		rows:    map[string]holderRow{},
	}
	for _, h := range holders {
		s.set(lease.HolderRecord{Incarnation: h, PeerAddr: "addr-" + h})
	}
	return s
}

func (s *simulation) set(r lease.HolderRecord) {
	s.version++
	s.rows[r.Incarnation] = holderRow{version: s.version, record: r}
}

func (s *simulation) renew(holders ...string) {
	for _, h := range holders {
		r := s.rows[h].record
		r.Renewals++
		s.set(r)
	}
}

// scanAfterInterval advances the time by one interval, scans the rows and
// returns the incarnations of the live daemons.
func (s *simulation) scanAfterInterval() []string {
	s.now = s.now.Add(testInterval)
	var rows []holderRow
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	s.tracker.observe(rows, s.now)
	var live []string
	for _, p := range s.tracker.live() {
		live = append(live, p.Incarnation)
	}
	return live
}

// Guards against a dead daemon staying a home after its TTL, and against a live
// daemon being removed before its TTL ends.
func TestDeadDaemonLeavesAfterTTL(t *testing.T) {
	s := newSimulation("self", "a", "b")
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "b", "self"})
	for range 2 {
		s.renew("self", "a")
		assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "b", "self"})
	}
	s.renew("self", "a")
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "self"})
	s.renew("b")
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "b", "self"})
}

// Guards against requests to daemons that have stopped or that are fenced and
// may not write.
func TestStoppedAndFencedAreExcluded(t *testing.T) {
	s := newSimulation("self", "a", "b")
	s.set(lease.HolderRecord{Incarnation: "a", PeerAddr: "addr-a", Stopped: true})
	s.set(lease.HolderRecord{Incarnation: "b", PeerAddr: "addr-b", Fenced: true})
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"self"})
}

// Guards against all peers expiring after a long outage of the table.
func TestOutageDoesNotAgeRows(t *testing.T) {
	s := newSimulation("self", "a")
	s.scanAfterInterval()
	s.now = s.now.Add(time.Hour) // no scan succeeds
	s.renew("self")              // a has not reached the table yet
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "self"})
}

// Guards against all peers expiring while the table answers scans but commits fail.
func TestCommitOutageDoesNotAgeRows(t *testing.T) {
	s := newSimulation("self", "a", "dead")
	s.scanAfterInterval()
	for range 20 {
		assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "dead", "self"})
	}
	for range 3 {
		s.renew("self", "a")
		s.scanAfterInterval()
	}
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "self"})
}

// Guards against the previous incarnation of a daemon that restarted on the
// same address being listed as live.
func TestRestartOnSameAddress(t *testing.T) {
	s := newSimulation("self", "old")
	s.scanAfterInterval()
	s.set(lease.HolderRecord{Incarnation: "new", PeerAddr: "addr-old"})
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"new", "self"})
}
