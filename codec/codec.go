// Package codec encodes and decodes the messages between instances as MessagePack. It decodes only
// messages whose declared lengths fit into the bytes that are there: the library allocates what a
// length declares before it reads the elements.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindMalformed says that the bytes are no valid message.
	KindMalformed Kind = "malformed"
	// KindUnencodable says that a value has no encoding.
	KindUnencodable Kind = "unencodable"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Encode returns the encoding of a message. Structs are encoded as arrays and integers in as few
// bytes as they need, which takes less than half the bytes of the plain encoding. Errors have kind
// KindUnencodable.
func Encode(message any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fault.Wrap("encode", KindUnencodable, err)
	}
	return data.Bytes(), nil
}

// EncodeNamed returns the encoding of a message with its structs as maps from field names. A decoder
// skips the fields that it doesn't know. Errors have kind KindUnencodable.
func EncodeNamed(message any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fault.Wrap("encode", KindUnencodable, err)
	}
	return data.Bytes(), nil
}

// IsNamed reports whether a message was encoded by EncodeNamed: whether it is a map.
func IsNamed(data []byte) bool {
	return len(data) > 0 && (data[0]&0xf0 == 0x80 || data[0] == 0xde || data[0] == 0xdf)
}

// Decode decodes a message, whether its structs are encoded as arrays or as maps. Errors have kind
// KindMalformed.
func Decode(data []byte, message any) error {
	if err := checkDepth(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, message); err != nil {
		return fault.Wrap("decode", KindMalformed, err)
	}
	return nil
}
