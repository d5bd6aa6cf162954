package escrow

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottimeClock returns the time since boot. It also counts while the machine
// is suspended, which the monotonic clock of the Go runtime does not.
func boottimeClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("escrow: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
