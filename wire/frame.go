package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// MaxFrame is the maximum size of a frame in bytes, excluding the length prefix.
	MaxFrame = 2 << 20
	// Version is the protocol version.
	Version = 1

	lengthBytes = 4
	// initialBufferBytes bounds the allocation before the content of a frame has arrived.
	initialBufferBytes = 16 << 10
)

// envelope is the content of a frame. A response repeats the id of its request.
type envelope struct {
	Kind  string             `msgpack:"kind"`
	Proto int                `msgpack:"proto"`
	ID    uint64             `msgpack:"id"`
	Body  msgpack.RawMessage `msgpack:"body"`
}

// errorBody is the body of a response of kind "error".
type errorBody struct {
	Kind    Kind   `msgpack:"kind"`
	Message string `msgpack:"message"`
}

const errorKind = "error"

// KindNamer is implemented by responses with a kind other than "answer" on the wire.
type KindNamer interface {
	Name() string
}

func responseKind(response any) string {
	if n, ok := response.(KindNamer); ok {
		return n.Name()
	}
	return "answer"
}

// writeFrame writes a complete frame within frameTimeout. The caller holds the lock for writes.
func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(frameTimeout))
	if _, err := conn.Write(frame); err != nil {
		return fault.Wrap("write", KindClosed, err)
	}
	return nil
}

// encode returns a complete frame, including the length prefix.
func encode(kind string, id uint64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("encode", KindMalformed, err)
	}
	var b bytes.Buffer
	b.Grow(len(raw) + len(kind) + 48)
	b.Write(make([]byte, lengthBytes))
	err = msgpack.NewEncoder(&b).Encode(envelope{Kind: kind, Proto: Version, ID: id, Body: raw})
	if err != nil {
		return nil, fault.Wrap("encode", KindMalformed, err)
	}
	frame := b.Bytes()
	size := len(frame) - lengthBytes
	if size > MaxFrame {
		return nil, fault.Newf("encode", KindTooLarge, "frame of kind %s has %d bytes, maximum is %d", kind, size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// readFrame reads the content of a frame. It calls started once the length prefix has
// arrived.
func readFrame(r io.Reader, started func()) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fault.Wrap("read", KindClosed, err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return nil, fault.Newf("read", KindTooLarge, "frame has %d bytes, maximum is %d", size, MaxFrame)
	}
	started()
	var b bytes.Buffer
	b.Grow(int(min(size, initialBufferBytes)))
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return nil, fault.Wrap("read", KindClosed, err)
	}
	return b.Bytes(), nil
}

func decode(frame []byte) (envelope, error) {
	var message envelope
	if err := unmarshal(frame, &message); err != nil {
		return envelope{}, err
	}
	if message.Kind == "" {
		return envelope{}, fault.Newf("decode", KindMalformed, "message has no kind")
	}
	return message, nil
}

// unmarshal decodes exactly one value; trailing data is an error.
func unmarshal(data []byte, v any) error {
	if err := codec.Decode(data, v); err != nil {
		return fault.Wrap("decode", KindMalformed, err)
	}
	return nil
}
