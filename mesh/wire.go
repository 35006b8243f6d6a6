package mesh

import (
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

// reportMessage is a datagram that reports crashes or streams. It is encoded with the names of its fields, so that
// a build that doesn't know the reports takes it for a message without any.
type reportMessage struct {
	From     Record
	Receiver ident.Entry
	Parts    gossip.PartFacts     `msgpack:",omitempty"`
	Crashes  []gossip.CrashReport `msgpack:",omitempty"`
	Streams  []resume.Stream      `msgpack:",omitempty"`
}

// Datagrams encodes a message, its reports about prompt parts and about requests in datagrams of their own. What is
// reported is left out if it is too large: membership must not depend on how much there is to report. Errors
// have kind KindTooLarge if the message is too large without it.
func Datagrams(message Message) (datagrams [][]byte, err error) {
	data, err := codec.Encode(message)
	if err == nil && len(data) > maxDatagramBytes {
		message.Facts, message.Records = Facts{Parts: message.Parts, CrashReports: message.CrashReports}, nil
		data, err = codec.Encode(message)
	}
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxDatagramBytes:
		return nil, fault.Newf("encode", KindTooLarge, "datagram of %d bytes", len(data))
	}
	datagrams = append(datagrams, data)
	if !message.Parts.Empty() {
		datagrams = appendReports(datagrams, reportMessage{From: message.From, Receiver: message.Receiver, Parts: message.Parts})
	}
	if len(message.CrashReports) > 0 {
		datagrams = appendReports(datagrams, reportMessage{From: message.From, Receiver: message.Receiver, Crashes: message.CrashReports})
	}
	return datagrams, nil
}

// appendReports appends the encoding of reports if they fit into a datagram.
func appendReports(datagrams [][]byte, reports reportMessage) [][]byte {
	data, err := codec.EncodeNamed(reports)
	if err != nil || len(data) > maxDatagramBytes {
		return datagrams
	}
	return append(datagrams, data)
}

// ParseDatagram decodes a datagram. Errors are those of codec.Decode.
func ParseDatagram(data []byte) (message Message, err error) {
	if !codec.IsNamed(data) {
		err = codec.Decode(data, &message)
		return message, err
	}
	var named reportMessage
	if err := codec.Decode(data, &named); err != nil {
		return Message{}, err
	}
	return Message{From: named.From, Receiver: named.Receiver, Facts: Facts{Parts: named.Parts, CrashReports: named.Crashes, Streams: named.Streams}}, nil
}
