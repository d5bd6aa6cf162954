package escrow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a host that cannot read from the store and forgets the hosts that could relay its calls.
func TestCutOffHostKeepsPeersToRelayThrough(t *testing.T) {
	c := newTestCluster(t, 3)
	var processes []*testProcess
	for i := range 3 {
		processes = append(processes, c.start(fmt.Sprint("host-", i), incarnation(i), map[string]int64{"customer": 1000}))
	}
	cutOff := processes[0]
	c.eventually("two peers known", func() bool { return len(cutOff.PeerAddrs()) == 2 })
	cutOff.rows.SetFaults(rowstore.Faults{Cut: true})
	c.advanceClock(leaseDuration + time.Second)
	assert.Equal(t, len(cutOff.PeerAddrs()), 2)
}

// Guards against an ended host that stays a broker and a relay for the others.
func TestEndedHostLeavesMembership(t *testing.T) {
	c := newTestCluster(t, 2)
	running := c.start("host-0", incarnation(0), map[string]int64{"customer": 1000})
	ending := c.start("host-1", incarnation(1), map[string]int64{"customer": 1000})
	c.eventually("peer known", func() bool { return len(running.PeerAddrs()) == 1 })
	ending.cancel()
	c.advanceClock(hostRowTTL + time.Second)
	c.eventually("peer dropped", func() bool { return len(running.PeerAddrs()) == 0 })
}

// Guards against hosts that do not know each other while one partition of the store is down.
func TestHostsKnowEachOtherDuringPartitionOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	budgets := map[string]int64{"customer": 1000}
	first := c.launch("host-0", incarnation(0), budgets)
	first.rows.SetFaults(rowstore.Faults{RefusedPart: hostRowParts[0]})
	second := c.launch("host-1", incarnation(1), budgets)
	second.rows.SetFaults(rowstore.Faults{RefusedPart: hostRowParts[0]})
	c.eventually("both hosts known to each other", func() bool {
		return len(first.PeerAddrs()) == 1 && len(second.PeerAddrs()) == 1
	})
}

// Guards against an undecodable row that hides the other hosts.
func TestUndecodableHostRowIsIgnored(t *testing.T) {
	c := newTestCluster(t, 2)
	c.store.Put(storage.RowKey{Table: hostRows, Part: hostRowParts[0], Key: "broken"}, []byte("{"))
	first := c.start("host-0", incarnation(0), map[string]int64{"customer": 1000})
	c.start("host-1", incarnation(1), map[string]int64{"customer": 1000})
	c.eventually("peer known", func() bool { return len(first.PeerAddrs()) == 1 })
}
