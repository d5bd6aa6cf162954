package slopes

import (
	"context"
	"time"
)

// sample is the state of all counters at one moment.
type sample struct {
	at            time.Time
	cpu           time.Duration // sum over the daemons
	memory        int64         // resident bytes, sum over the daemons
	heap          int64         // private anonymous bytes, sum over the daemons
	platformBytes int64         // bytes between daemons and platform
	targetBytes   int64         // bytes between daemons and targets
	peerBytes     int64         // bytes between daemons
	calls         callCounts
}

// window is the usage of a fleet between two samples.
type window struct {
	seconds       float64
	cpu           time.Duration // processor time of all daemons
	memory        int64         // resident bytes at the end of the window
	heap          int64         // private anonymous bytes at the end of the window
	platformBytes float64       // bytes between daemons and platform
	targetBytes   float64       // bytes between daemons and targets
	peerBytes     float64       // bytes between daemons
	calls         callCounts
}

func (f *fleet) sample() (sample, error) {
	s := sample{
		at:            time.Now(),
		platformBytes: f.platform.bytes.Load(),
		targetBytes:   f.targets.bytes.Load(),
		peerBytes:     f.peerBytes.Load(),
		calls:         f.platform.counter.snapshot(),
	}
	for _, d := range f.daemons {
		u, err := usageOf(d.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.cpu += u.cpu
		s.memory += u.memory
		s.heap += u.heap
	}
	return s, nil
}

// measureUsage measures the usage of the fleet for a duration.
func (f *fleet) measureUsage(ctx context.Context, d time.Duration) (window, error) {
	before, err := f.sample()
	if err != nil {
		return window{}, err
	}
	if err := sleep(ctx, d); err != nil {
		return window{}, err
	}
	return f.usageSince(before)
}

// usageSince returns the usage since a sample.
func (f *fleet) usageSince(before sample) (window, error) {
	after, err := f.sample()
	if err != nil {
		return window{}, err
	}
	return window{
		seconds:       after.at.Sub(before.at).Seconds(),
		cpu:           after.cpu - before.cpu,
		memory:        after.memory,
		heap:          after.heap,
		platformBytes: float64(after.platformBytes - before.platformBytes),
		targetBytes:   float64(after.targetBytes - before.targetBytes),
		peerBytes:     float64(after.peerBytes - before.peerBytes),
		calls:         after.calls.since(before.calls),
	}, nil
}
