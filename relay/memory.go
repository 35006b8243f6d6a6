package relay

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// freeTries is how often a reservation beyond the limit waits for freeWait until memory is released.
	freeTries = 10
	freeWait  = 5 * time.Millisecond
	// freeAgainTries is after how many tries the function of OnShort is called again. A holder needs some
	// milliseconds to release its memory, and each further call cuts off another one.
	freeAgainTries = 5
)

// errNoMemory is the cause of an error for which no memory is left in Config.Memory.
var errNoMemory = errors.New("no memory")

// LacksMemory reports whether an error is due to Config.Memory, and not to what the endpoint sent.
func LacksMemory(err error) bool { return errors.Is(err, errNoMemory) }

// Memory bounds the buffered response bodies and the long headers of several pools. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
	free  func() bool
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// OnShort sets a function that is called when a reservation exceeds the limit, and again if that lasts. It makes a holder release memory within
// moments, and reports false if there is none to do so. It must be set before the first reservation.
func (m *Memory) OnShort(free func() bool) { m.free = free }

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// reserve reserves bytes and reports whether the limit allows it. A nil Memory has no limit.
func (m *Memory) reserve(bytes int64) bool {
	if m == nil {
		return true
	}
	for tries := 0; m.used.Add(bytes) > m.limit; tries++ {
		m.used.Add(-bytes)
		if bytes > m.limit || m.free == nil || tries == freeTries {
			return false
		}
		if tries%freeAgainTries == 0 && !m.free() && tries == 0 {
			return false
		}
		time.Sleep(freeWait)
	}
	return true
}

func (m *Memory) release(bytes int64) {
	if m != nil {
		m.used.Add(-bytes)
	}
}
