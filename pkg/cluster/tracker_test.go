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

// simulation scans a set of holders once per interval.
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

// step passes the interval and scans.
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

// Guards against a dead daemon that stays home, or a live one that is dropped early.
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

// Guards against requests to daemons that have stopped or may not write.
func TestStoppedAndFencedAreExcluded(t *testing.T) {
	s := newSimulation("self", "a", "b")
	s.set(lease.HolderRecord{Incarnation: "a", PeerAddr: "addr-a", Stopped: true})
	s.set(lease.HolderRecord{Incarnation: "b", PeerAddr: "addr-b", Fenced: true})
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"self"})
}

// Guards against a view without peers after a long outage of the table.
func TestOutageDoesNotAgeRows(t *testing.T) {
	s := newSimulation("self", "a")
	s.scanAfterInterval()
	s.now = s.now.Add(time.Hour) // no scan succeeds
	s.renew("self")              // a has not reached the table yet
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"a", "self"})
}

// Guards against a view without peers while the table answers scans but no commits.
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

// Guards against two rows for one process after a restart, of which the older is a dead incarnation.
func TestRestartOnSameAddress(t *testing.T) {
	s := newSimulation("self", "old")
	s.scanAfterInterval()
	s.set(lease.HolderRecord{Incarnation: "new", PeerAddr: "addr-old"})
	assert.DeepEqual(t, s.scanAfterInterval(), []string{"new", "self"})
}
