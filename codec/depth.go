package codec

import (
	"encoding/binary"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// maxDepth is the maximum number of nested arrays and maps: the decoder is recursive, so a long
// message of nothing else would overflow its stack.
const maxDepth = 32

// checkDepth scans one msgpack value without recursion. It rejects values that are
// nested deeper than maxDepth, truncated or followed by other data.
func checkDepth(data []byte) error {
	var open [maxDepth]uint64 // remaining values per level
	level := 0
	open[0] = 1
	for level >= 0 {
		if open[level] == 0 {
			level--
			continue
		}
		open[level]--
		size, inner, ok := parseHeader(data)
		if !ok {
			return fault.Newf("check", KindMalformed, "value is truncated")
		}
		data = data[size:]
		if inner == 0 {
			continue
		}
		if level++; level == maxDepth {
			return fault.Newf("check", KindMalformed, "value is nested deeper than %d levels", maxDepth)
		}
		open[level] = inner
	}
	if len(data) > 0 {
		return fault.Newf("check", KindMalformed, "value is followed by %d more bytes", len(data))
	}
	return nil
}

// parseHeader returns the size of the first value in bytes, excluding nested values, and
// the number of values nested in it.
func parseHeader(data []byte) (size int, inner uint64, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	c := data[0]
	var length uint64
	switch {
	case c <= 0x7f, c >= 0xe0: // small integer
		length = 1
	case c <= 0x8f: // small map
		length, inner = 1, 2*uint64(c&0x0f)
	case c <= 0x9f: // small array
		length, inner = 1, uint64(c&0x0f)
	case c <= 0xbf: // small string
		length = 1 + uint64(c&0x1f)
	default:
		length, inner, ok = parseWideHeader(c, data[1:])
		if !ok {
			return 0, 0, false
		}
	}
	if length > uint64(len(data)) {
		return 0, 0, false
	}
	return int(length), inner, true
}

// parseWideHeader handles the type bytes 0xc0 to 0xdf.
func parseWideHeader(c byte, rest []byte) (size, inner uint64, ok bool) {
	switch c {
	case 0xc0, 0xc2, 0xc3: // nil, booleans
		return 1, 0, true
	case 0xca, 0xce, 0xd2: // 4-byte numbers
		return 5, 0, true
	case 0xcb, 0xcf, 0xd3: // 8-byte numbers
		return 9, 0, true
	case 0xcc, 0xd0:
		return 2, 0, true
	case 0xcd, 0xd1:
		return 3, 0, true
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extensions of fixed size
		return 2 + 1<<(c-0xd4), 0, true
	case 0xc4, 0xc5, 0xc6: // binary data
		n, w, ok := bigEndian(rest, 1<<(c-0xc4))
		return 1 + w + n, 0, ok
	case 0xc7, 0xc8, 0xc9: // extensions
		n, w, ok := bigEndian(rest, 1<<(c-0xc7))
		return 2 + w + n, 0, ok
	case 0xd9, 0xda, 0xdb: // strings
		n, w, ok := bigEndian(rest, 1<<(c-0xd9))
		return 1 + w + n, 0, ok
	case 0xdc, 0xdd: // arrays
		n, w, ok := bigEndian(rest, 2<<(c-0xdc))
		return 1 + w, n, ok
	case 0xde, 0xdf: // maps
		n, w, ok := bigEndian(rest, 2<<(c-0xde))
		return 1 + w, 2 * n, ok
	}
	return 0, 0, false
}

func bigEndian(data []byte, width int) (value, size uint64, ok bool) {
	if len(data) < width {
		return 0, 0, false
	}
	var b [8]byte
	copy(b[8-width:], data[:width])
	return binary.BigEndian.Uint64(b[:]), uint64(width), true
}
