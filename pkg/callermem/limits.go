package callermem

import (
	"errors"
	"time"
)

const (
	// ConnectionBytes is what net/http holds for each connection: read and write buffers of
	// 4 KiB each, and a stack of up to 8 KiB.
	ConnectionBytes = 16 << 10
	// OrdinaryBytes is the memory of an ordinary request: a body of tens of kilobytes, whose
	// buffer takes 64 and 128 KiB while it grows. Requests with more are large ones, which have
	// smaller shares.
	OrdinaryBytes = 192 << 10
	// connectionShare is the memory of one connection, relative to the free memory. A body of
	// 4 MiB takes 6 MiB while its buffer grows, and fits in the third of the cap that one
	// connection alone gets on the smallest host.
	connectionShare = 0.5
	// groupShare is the memory of a client address or customer, relative to the free memory
	// without the reserve. One alone gets 0.7 of the cap.
	groupShare = 4
	// largeGroupShare is the same for requests with more than OrdinaryBytes. One address alone
	// gets 0.44 of the cap for them, so that ordinary requests behind the same address, as
	// that of a load balancer, find memory.
	largeGroupShare = 1
	// reserveShare is the part of the cap that is reserved for addresses and customers with
	// at most smallGroupBytes. With 100 groups above their shares, the share of each would
	// otherwise be smaller than an ordinary body.
	reserveShare = 0.125
	// smallGroupBytes is the memory of an address or customer that is not subject to its
	// share: an ordinary body of 64 KiB and its request. On the smallest host 100 addresses take
	// the reserve; beyond that only the least rate of bodies helps newcomers.
	smallGroupBytes = 64<<10 + RequestBytes
	// pressureShare is the part of the cap from which on incomplete bodies must make progress.
	// Below it a stalled body keeps no memory from others.
	pressureShare = 0.5
	// sweepInterval is the shortest time between two looks at all incomplete bodies, which
	// take about 0.1 ms for 2,000 bodies.
	sweepInterval = 250 * time.Millisecond
)

const (
	// DefaultMinBodyRate is the default of Limits.MinBodyRate. A link of 10 kbit/s reaches it.
	DefaultMinBodyRate = 1 << 10
	// DefaultBodyWindow is the default of Limits.BodyWindow. It covers a few lost packets.
	DefaultBodyWindow = 2 * time.Second
)

// Limits are the limits of an Account.
type Limits struct {
	Bytes       int64         // memory for callers, in bytes; 0: no limit
	MinBodyRate int64         // least rate of an incomplete body while memory is scarce, in bytes per second; 0: DefaultMinBodyRate
	BodyWindow  time.Duration // least time over which the rate is measured; 0: DefaultBodyWindow
}

// CheckAndSetDefaults sets defaults and returns an error if a limit is invalid.
func (l *Limits) CheckAndSetDefaults() error {
	if l.Bytes < 0 || l.MinBodyRate < 0 || l.BodyWindow < 0 {
		return errors.New("memory for callers, body rate and body window: must not be negative")
	}
	if l.MinBodyRate == 0 {
		l.MinBodyRate = DefaultMinBodyRate
	}
	if l.BodyWindow == 0 {
		l.BodyWindow = DefaultBodyWindow
	}
	return nil
}
