package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed tells the time since some fixed moment on a clock that never steps
// and goes on while the machine is suspended. Ages that a promise depends on
// are taken from it.
type Elapsed func() time.Duration

// SinceBoot reads the machine's boot clock.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: the boot clock cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
