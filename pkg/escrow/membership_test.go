package escrow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
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
