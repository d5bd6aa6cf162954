package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against membership changes that become visible before the lag has passed.
func TestMembershipLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newMemberList()
		lag := 2 * time.Second
		l.put(storage.Member{ID: "a"})
		assert.Equal(t, len(l.list(lag)), 0)
		time.Sleep(lag)
		assert.Equal(t, len(l.list(lag)), 1)
		l.remove("a")
		assert.Equal(t, len(l.list(lag)), 1)
		time.Sleep(lag)
		assert.Equal(t, len(l.list(lag)), 0)
	})
}
