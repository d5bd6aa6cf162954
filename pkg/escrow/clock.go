package escrow

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottimeClock returns a time that also counts while the machine is suspended,
// which the runtime's monotonic clock does not.
func boottimeClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("escrow: no clock that counts suspension: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
