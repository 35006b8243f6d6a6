package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// MaxFrame is the largest frame in bytes, without its length.
	MaxFrame = 2 << 20
	// Version is the version of the protocol.
	Version = 1

	lengthSize = 4
	// firstRead bounds what is allocated before any of a frame has arrived.
	firstRead = 16 << 10
	// maxDepth bounds nesting: the decoder is recursive, so 2 MB of nested arrays
	// would take it two million calls deep.
	maxDepth = 32
)

// envelope is the content of a frame. An answer repeats the id of its question.
type envelope struct {
	Kind  string             `msgpack:"kind"`
	Proto int                `msgpack:"proto"`
	ID    uint64             `msgpack:"id"`
	Body  msgpack.RawMessage `msgpack:"body"`
}

// problem is the body of an answer of kind "error".
type problem struct {
	Kind    Kind   `msgpack:"kind"`
	Message string `msgpack:"message"`
}

const problemKind = "error"

// Named is implemented by answers that have a kind of their own on the wire.
type Named interface {
	Name() string
}

func answerKind(a any) string {
	if n, ok := a.(Named); ok {
		return n.Name()
	}
	return "answer"
}

// encode returns a whole frame, length included.
func encode(kind string, id uint64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("encode", Malformed, err)
	}
	var b bytes.Buffer
	b.Grow(len(raw) + len(kind) + 48)
	b.Write(make([]byte, lengthSize))
	err = msgpack.NewEncoder(&b).Encode(envelope{Kind: kind, Proto: Version, ID: id, Body: raw})
	if err != nil {
		return nil, fault.Wrap("encode", Malformed, err)
	}
	frame := b.Bytes()
	size := len(frame) - lengthSize
	if size > MaxFrame {
		return nil, fault.Newf("encode", Oversized, "%s has %d bytes, at most %d allowed", kind, size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// readFrame reads a frame's content. It calls started once the length has arrived.
func readFrame(r io.Reader, started func()) ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fault.Wrap("read", Closed, err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return nil, fault.Newf("read", Oversized, "%d bytes, at most %d allowed", size, MaxFrame)
	}
	started()
	var b bytes.Buffer
	b.Grow(int(min(size, firstRead)))
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return nil, fault.Wrap("read", Closed, err)
	}
	return b.Bytes(), nil
}

func decode(frame []byte) (envelope, error) {
	var e envelope
	if err := unmarshal(frame, &e); err != nil {
		return envelope{}, err
	}
	if e.Kind == "" {
		return envelope{}, fault.Newf("decode", Malformed, "no kind")
	}
	return e, nil
}

// unmarshal decodes exactly one value.
func unmarshal(data []byte, v any) error {
	if err := checkDepth(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fault.Wrap("decode", Malformed, err)
	}
	return nil
}
