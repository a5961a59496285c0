package vm

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot-time clock in nanoseconds. Unlike Go's monotonic clock
// it advances while the VM is suspended, so a lease that expired during a suspension is
// detected as expired by the first check afterwards.
type Instant int64

// Now returns the current reading of the boot-time clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported Linux kernel has CLOCK_BOOTTIME. Without it leases cannot
		// be checked reliably.
		panic("vm: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i-o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Clock returns the current instant. Tests substitute their own.
type Clock func() Instant

var processStart = time.Now()

// Monotonic returns a reading of Go's monotonic clock, which does not advance while the VM
// is suspended. Unlike Now it needs no system call. Use it for measurements taken many
// times per request, but not for leases or other decisions that grant a right.
func Monotonic() Instant { return Instant(time.Since(processStart)) }
