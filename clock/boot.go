package clock

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that also advances while the machine is suspended, which System does not. A reading is a system call
// and takes some 200 ns.
type Boot struct {
	start Time
}

// NewBoot returns a Boot whose zero time is one minute in the past, so that a Time of 0 can represent "never". It fails
// if the kernel has no such clock.
func NewBoot() (*Boot, error) {
	now, err := sinceBoot()
	if err != nil {
		return nil, fmt.Errorf("reading the time since boot: %w", err)
	}
	return &Boot{start: now.Add(-Minute)}, nil
}

// Now returns the time since the clock's zero time.
func (b *Boot) Now() Time {
	now, _ := sinceBoot() // fails only on a kernel without the clock, for which there is no Boot
	return Time(now.Sub(b.start))
}

func sinceBoot() (Time, error) {
	var now unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return Time(now.Nano() / 1e6), err
}
