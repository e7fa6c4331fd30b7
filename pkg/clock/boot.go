package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionStep is the least difference of the two clocks that is taken for a suspension; they are read one after the other.
const suspensionStep = 20 * time.Millisecond

// suspended returns for how long the machine has been suspended since it started, which the steady clock doesn't count.
func suspended() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Linux has both clocks since 2.6.39; without them no age can be told.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
