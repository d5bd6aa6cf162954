package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a share of the retry reserve that is too large because the rows of running hosts are not read yet, cannot be read or expired during an outage of the store.
func TestFleetSizeIsNotUnderestimated(t *testing.T) {
	var s fleetSize
	for _, hosts := range []int{1, 1, 1, 2, 5, 40, 81, 81, 81} {
		assert.Equal(t, s.add(hosts), 0)
	}
	assert.Equal(t, s.add(81), 81)
	for range 100 {
		assert.Equal(t, s.add(1), 81, "while no other host is known")
	}
	for _, hosts := range []int{2, 3, 30, 60, 81} {
		assert.Equal(t, s.add(hosts), 81, "while the hosts write their rows after an outage")
	}
	for range fleetSizeReadings - 1 {
		assert.Equal(t, s.add(8), 81)
	}
	assert.Equal(t, s.add(8), 8)
}

// Guards against a host that uses its share of the retry reserve before it knows by how many hosts to divide it.
func TestNoRetryReserveBeforeFleetSizeIsKnown(t *testing.T) {
	d := &Daemon{settings: Settings{RetryReserve: 58}}
	assert.Equal(t, d.retryReserve(), 0.0)
	d.retryHostCount.Store(8)
	assert.Equal(t, d.retryReserve(), 7.25)
}
