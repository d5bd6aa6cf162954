package bandwidth

import "math"

// direction is the use of a link in one direction.
type direction struct {
	total   int64   // bytes until the last observation
	pending float64 // bytes that were counted faster than the link carries them
	average float64 // moving average, bytes per second
}

// observe takes the bytes in total after elapsed seconds. Bytes that the host reads or writes at
// once have crossed, or will cross, the link at its rate: one large body counts as the time that
// it takes, not as a peak of many times the rate.
func (d *direction) observe(total int64, rate, elapsed float64) {
	d.pending += float64(total - d.total)
	crossed := min(d.pending, rate*elapsed)
	d.pending = min(d.pending-crossed, rate*maxPending.Seconds())
	window := fallWindow
	if crossed/elapsed > d.average {
		window = riseWindow
	}
	d.average += (crossed/elapsed - d.average) * (1 - math.Exp(-elapsed/window.Seconds()))
}
