package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest clock difference that counts as a suspension; reading two clocks in turn causes smaller ones.
const minSuspension = 20 * time.Millisecond

// suspendedTime returns how long the host has been suspended since boot, which CLOCK_MONOTONIC does not count.
func suspendedTime() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Linux has both clocks since 2.6.39; without them ages of data cannot be measured.
		panic("clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
