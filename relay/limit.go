package relay

import (
	"net"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// errHeadTooLarge ends the reading of a header that exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("header is too large")

// limitedReader reads from a connection, at most a number of bytes while a limit is set. Those beyond the first
// uncountedHeadBytes are counted in a Memory until release.
type limitedReader struct {
	conn    net.Conn
	memory  *Memory
	limited bool
	// remaining is how many bytes may be read, and extra how many more once they are counted.
	remaining int
	extra     int
	// reserved is what is counted in memory.
	reserved int64
	// framing is that of the head that is read while a limit is set.
	framing framing
	// failed reports whether a read of the connection has failed.
	failed bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.limited {
		if err := l.extend(); err != nil {
			return 0, err
		}
		b = b[:min(len(b), l.remaining)]
	}
	n, err := l.conn.Read(b)
	l.remaining -= n
	if l.limited {
		l.framing.add(b[:n])
	}
	l.failed = l.failed || err != nil
	return n, err
}

// extend counts the rest of the limit once the first part has been read. It fails if there is no rest, or no memory for it.
func (l *limitedReader) extend() error {
	switch {
	case l.remaining > 0:
		return nil
	case l.extra <= 0:
		return errHeadTooLarge
	case !l.memory.reserve(int64(l.extra)):
		return errNoMemory
	}
	l.reserved += int64(l.extra)
	l.remaining, l.extra = l.extra, 0
	return nil
}

func (l *limitedReader) setLimit(bytes int) {
	l.limited, l.remaining = true, min(bytes, uncountedHeadBytes)
	l.extra = bytes - l.remaining
}

func (l *limitedReader) clearLimit() { l.limited = false }

// release ends the counting of what has been read.
func (l *limitedReader) release() {
	l.memory.release(l.reserved)
	l.reserved = 0
}

// readError returns the error of a failed read with its kind: the connection ended, a limit was
// exceeded, or what arrived is no valid response.
func (l *limitedReader) readError(op string, err error) error {
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errNoMemory):
		return fault.Wrap(op, KindTooLarge, err)
	case l.failed:
		return fault.Wrap(op, KindBroken, err)
	default:
		return fault.Wrap(op, KindMalformed, err)
	}
}
