package mesh

import (
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// partMessage is a datagram that reports prompt parts. It is encoded with the names of its fields, so
// that a build that doesn't know the reports takes it for a message without any.
type partMessage struct {
	From     Record
	Receiver ident.Entry
	Parts    gossip.PartFacts
}

// Datagrams encodes a message, its reports about prompt parts in a second datagram. What is reported
// is left out if it is too large: membership must not depend on how much there is to report. Errors
// have kind KindTooLarge if the message is too large without it.
func Datagrams(message Message) (datagrams [][]byte, err error) {
	data, err := codec.Encode(message)
	if err == nil && len(data) > maxDatagramBytes {
		message.Facts, message.Records = Facts{Parts: message.Parts}, nil
		data, err = codec.Encode(message)
	}
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxDatagramBytes:
		return nil, fault.Newf("encode", KindTooLarge, "datagram of %d bytes", len(data))
	}
	datagrams = append(datagrams, data)
	if message.Parts.Empty() {
		return datagrams, nil
	}
	data, err = codec.EncodeNamed(partMessage{message.From, message.Receiver, message.Parts})
	if err == nil && len(data) <= maxDatagramBytes {
		datagrams = append(datagrams, data)
	}
	return datagrams, nil
}

// ParseDatagram decodes a datagram. Errors are those of codec.Decode.
func ParseDatagram(data []byte) (message Message, err error) {
	if !codec.IsNamed(data) {
		err = codec.Decode(data, &message)
		return message, err
	}
	var named partMessage
	if err := codec.Decode(data, &named); err != nil {
		return Message{}, err
	}
	return Message{From: named.From, Receiver: named.Receiver, Facts: Facts{Parts: named.Parts}}, nil
}
