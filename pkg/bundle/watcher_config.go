package bundle

import "time"

// Source tells how a daemon learned of a version.
type Source string

// Sources of a version.
const (
	FromTable Source = "table"
	FromPeer  Source = "peer"
)

// Adoption is a version that a daemon has put into force.
type Adoption struct {
	Index  *Index
	Source Source
	Raw    []byte // form to push to peers, see Watcher.Offer; do not change
}

// WatcherConfig is what a Watcher needs.
type WatcherConfig struct {
	Store     *Store
	Bootstrap []Operator    // verify pushes while no version is held
	PollEvery time.Duration // default BundlePoll
	Timeout   time.Duration // per poll, default BundlePoll
	// Now is the clock, default time.Now.
	Now func() time.Time
	// OnAdopt is called for each adopted version in rising order, and again for
	// the held version if the table replaces its text. It must not block or
	// call Poll or Offer.
	OnAdopt func(Adoption)
	// OnPoll is called after each poll with its error, nil if it confirmed the version.
	OnPoll func(error)
}

func (c WatcherConfig) withDefaults() WatcherConfig {
	if c.PollEvery <= 0 {
		c.PollEvery = BundlePoll
	}
	if c.Timeout <= 0 {
		c.Timeout = BundlePoll
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnAdopt == nil {
		c.OnAdopt = func(Adoption) {}
	}
	if c.OnPoll == nil {
		c.OnPoll = func(error) {}
	}
	return c
}
