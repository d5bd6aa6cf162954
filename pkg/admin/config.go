package admin

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// CallTimeout is the time limit for all platform calls of one operator call.
const CallTimeout = 5 * time.Second

// Config contains the dependencies and settings of a Server.
type Config struct {
	Table   storage.Table
	Store   *bundle.Store
	Watcher *bundle.Watcher
	Backend Backend
	Now     func() time.Time // default time.Now
	OnCall  func(Call)       // called before each reply, for logs and counters; optional
	// Resubmit is the retry policy of budget writes, default resubmit.Default.
	Resubmit resubmit.Policy
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnCall == nil {
		c.OnCall = func(Call) {}
	}
	if c.Resubmit.Attempts == 0 {
		c.Resubmit = resubmit.Default
	}
	return c
}
