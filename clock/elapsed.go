package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since a fixed moment, read from a clock that never
// steps and keeps running while the machine is suspended. The clock of New stops
// during a suspension, so an age on which a guarantee depends is measured with
// Elapsed instead.
type Elapsed func() time.Duration

// SinceBoot returns the time since the machine booted.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: the boot clock cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
