package admin

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// CallTimeout bounds the platform calls of one operator call.
const CallTimeout = 5 * time.Second

// Config is what a Server needs.
type Config struct {
	Table   storage.Table
	Store   *bundle.Store
	Watcher *bundle.Watcher
	Backend Backend
	Now     func() time.Time // default time.Now
	OnCall  func(Call)       // called before each reply, for logs and counters; optional
	// Resubmit applies to budget writes, default resubmit.Default.
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
