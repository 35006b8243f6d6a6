package relay

import (
	"net"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// errHeadTooLarge ends the reading of a header that exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("header is too large")

// limitedReader reads from a connection, at most a number of bytes while a limit is set.
type limitedReader struct {
	conn      net.Conn
	limited   bool
	remaining int
	// failed reports whether a read of the connection has failed.
	failed bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, errHeadTooLarge
		}
		b = b[:min(len(b), l.remaining)]
	}
	n, err := l.conn.Read(b)
	l.remaining -= n
	l.failed = l.failed || err != nil
	return n, err
}

func (l *limitedReader) setLimit(bytes int) { l.limited, l.remaining = true, bytes }
func (l *limitedReader) clearLimit()        { l.limited = false }

// readError returns the error of a failed read with its kind: the connection ended, a limit was
// exceeded, or what arrived is no valid response.
func (l *limitedReader) readError(op string, err error) error {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return fault.Wrap(op, KindTooLarge, err)
	case l.failed:
		return fault.Wrap(op, KindBroken, err)
	default:
		return fault.Wrap(op, KindMalformed, err)
	}
}
