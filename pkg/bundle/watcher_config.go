package bundle

import "time"

// Source identifies how a daemon received a version.
type Source string

// Sources of a version.
const (
	FromTable Source = "table"
	FromPeer  Source = "peer"
)

// Adoption describes a version that a daemon has adopted.
type Adoption struct {
	Index  *Index
	Source Source
	Raw    []byte // encoding to push to peers, see Watcher.Offer; must not be modified
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Store        *Store
	Bootstrap    []Operator    // operators that a pushed version is verified with while no version is known
	PollInterval time.Duration // time between polls, default DefaultPollInterval
	Timeout      time.Duration // time limit of one poll, default DefaultPollInterval
	// Now returns the current time, default time.Now.
	Now func() time.Time
	// OnAdopt is called for each adopted version in ascending order, and again for
	// the current version if the table replaces its content. It must not block or
	// call Poll or Offer.
	OnAdopt func(Adoption)
	// OnPoll is called after each poll with the error of Poll, nil on success.
	OnPoll func(error)
}

func (c WatcherConfig) withDefaults() WatcherConfig {
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultPollInterval
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
