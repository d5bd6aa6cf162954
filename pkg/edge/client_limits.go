package edge

import (
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/callermem"
)

// ClientLimits are the limits for callers. A value of 0 selects the default.
type ClientLimits struct {
	MemoryShare float64       // share of Settings.MemoryBytes for callers
	SocketShare float64       // share of Settings.Sockets for connections of callers
	HeadBytes   int           // head of a request, in bytes
	HeadTimeout time.Duration // time from the first byte, or the accept of the connection, to the end of a head
	MinBodyRate int64         // least rate of an incomplete body while memory or connections are scarce, in bytes per second
	BodyWindow  time.Duration // least time over which the rate is measured
	MinReadRate int64         // least rate at which a caller accepts its response while others need what it holds, in bytes per second; 0: the default of forward
	ReadWindow  time.Duration // time after which a caller that accepts nothing is too slow; 0: the default of forward
}

const (
	// defaultCallerMemoryShare leaves room for the process itself (about 24 MB) and for garbage
	// within memoryLimitShare. The account counts what is live only.
	defaultCallerMemoryShare = 0.45
	// maxCallerMemoryShare leaves a tenth of the memory between the account's cap and
	// memoryLimitShare.
	maxCallerMemoryShare = memoryLimitShare - 0.1
	// defaultCallerSocketShare leaves 0.4 of the sockets to targets, other hosts, the store
	// and operators. refusalMargin of the listener takes at most a fifth more.
	defaultCallerSocketShare = 0.6
	// maxCallerSocketShare leaves a tenth of the sockets with the margin of the listener.
	maxCallerSocketShare = 0.75
	// connectionMemoryShare is the share of the memory for callers that connections without
	// requests may take. It allows more connections than defaultCallerSocketShare on hosts
	// with up to 22 descriptors per MB.
	connectionMemoryShare = 0.5
)

// CheckAndSetDefaults sets defaults and returns an error that lists all problems.
func (l *ClientLimits) CheckAndSetDefaults() error {
	var problems []error
	if l.MemoryShare < 0 || l.MemoryShare > maxCallerMemoryShare {
		problems = append(problems, fmt.Errorf("memory share of callers: %v is not between 0 and %v", l.MemoryShare, maxCallerMemoryShare))
	}
	if l.SocketShare < 0 || l.SocketShare > maxCallerSocketShare {
		problems = append(problems, fmt.Errorf("socket share of callers: %v is not between 0 and %v", l.SocketShare, maxCallerSocketShare))
	}
	if l.MinReadRate < 0 || l.ReadWindow < 0 {
		problems = append(problems, errors.New("read rate and read window of callers: must not be negative"))
	}
	if l.HeadBytes < 0 || l.HeadTimeout < 0 || l.MinBodyRate < 0 || l.BodyWindow < 0 {
		problems = append(problems, errors.New("head size, head timeout, body rate and body window of callers: must not be negative"))
	}
	setDefault(&l.MemoryShare, defaultCallerMemoryShare)
	setDefault(&l.SocketShare, defaultCallerSocketShare)
	setDefault(&l.HeadBytes, maxHeaderBytes)
	setDefault(&l.HeadTimeout, headerTimeout)
	setDefault(&l.MinBodyRate, callermem.DefaultMinBodyRate)
	setDefault(&l.BodyWindow, callermem.DefaultBodyWindow)
	return errors.Join(problems...)
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// callerMemory returns the limits of the memory for callers.
func (s *Settings) callerMemory() callermem.Limits {
	return callermem.Limits{Bytes: int64(s.Clients.MemoryShare * float64(s.MemoryBytes)), MinBodyRate: s.Clients.MinBodyRate, BodyWindow: s.Clients.BodyWindow}
}

// callerLimit returns the number of connections from callers beyond which requests are
// refused, 0 for no limit.
func (s *Settings) callerLimit() int {
	limit := int(s.Clients.SocketShare * float64(s.Sockets))
	byMemory := int(connectionMemoryShare * float64(s.callerMemory().Bytes) / callermem.ConnectionBytes)
	if byMemory > 0 && (limit == 0 || byMemory < limit) {
		return byMemory
	}
	return limit
}
