package mesh

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/quota"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

const (
	// maxReportDatagrams bounds the datagrams for one kind of report.
	maxReportDatagrams = 32
	// maxServiceBytes bounds the name of a service in a report that takes several datagrams: each names the last
	// service of the one before.
	maxServiceBytes = 1 << 10
)

// reportMessage is a datagram that reports crashes, streams, reach, shares of limits, or what does not fit into the datagram of its
// message. It is encoded with the names of its fields, so that a build that doesn't know a report takes it for a
// message without any.
type reportMessage struct {
	From     Record
	Receiver ident.Entry
	Parts    gossip.PartFacts     `msgpack:",omitempty"`
	Crashes  []gossip.CrashReport `msgpack:",omitempty"`
	Refusals []gossip.Refusal     `msgpack:",omitempty"`
	Streams  []resume.Stream      `msgpack:",omitempty"`
	// Services is the encoding of the []pool.Summary in Range, and empty if there is no such report.
	Services []byte         `msgpack:",omitempty"`
	Range    ServiceRange   `msgpack:",omitempty"`
	Reach    []ServiceReach `msgpack:",omitempty"`
	// ShareRequest and ShareGrant are about the limits of customers.
	ShareRequest *quota.Request `msgpack:",omitempty"`
	ShareGrant   *quota.Grant   `msgpack:",omitempty"`
}

// Datagrams is the encoding of a message.
type Datagrams struct {
	Data [][]byte
	// Omitted counts the facts that are left out: each costs only itself.
	Omitted int
}

// EncodeMessage encodes a message. Reports of crashes, of prompt parts and of reach have datagrams of their own. If the rest
// does not fit into one datagram, the capacity of services and the refusals get their own too, and then the
// smallest loads and records of other instances are left out: membership must not depend on how much
// there is to report. Errors have kind KindTooLarge if the message is too large without it.
func EncodeMessage(message Message) (encoded Datagrams, err error) {
	data, err := codec.Encode(message)
	if err != nil {
		return encoded, err
	}
	reports := reportMessage{From: message.From, Receiver: message.Receiver}
	if len(data) > maxDatagramBytes {
		encoded.addServices(reports, message.Services)
		encoded.addRefusals(reports, message.Refusals)
		message.Services, message.Refusals = nil, nil
		if data, err = encoded.encodeWithin(&message); err != nil {
			return Datagrams{}, err
		}
	}
	encoded.Data = append([][]byte{data}, encoded.Data...)
	encoded.addParts(reports, message.Parts)
	encoded.addCrashes(reports, message.CrashReports)
	encoded.addReach(reports, message.Reach)
	return encoded, nil
}

// EncodeStreams encodes a message that tells the origins of streams.
func EncodeStreams(from Record, receiver ident.Entry, streams []resume.Stream) (encoded Datagrams) {
	encoded.add(len(streams), func(first, end int) ([]byte, error) {
		return codec.EncodeNamed(reportMessage{From: from, Receiver: receiver, Streams: streams[first:end]})
	})
	return encoded
}

// EncodeQuota encodes a message about the limits of customers. Errors have kind KindTooLarge if it does not fit into a
// datagram.
func EncodeQuota(from Record, receiver ident.Entry, message quota.Message) ([]byte, error) {
	data, err := codec.EncodeNamed(reportMessage{From: from, Receiver: receiver, ShareRequest: message.Request, ShareGrant: message.Grant})
	if err == nil && len(data) > maxDatagramBytes {
		err = fault.Newf("encode", KindTooLarge, "datagram of %d bytes", len(data))
	}
	return data, err
}

// encodeWithin encodes a message, without as many records and loads as it takes to fit into a datagram. The loads are
// sorted, the largest first.
func (d *Datagrams) encodeWithin(message *Message) ([]byte, error) {
	for {
		data, err := codec.Encode(*message)
		switch {
		case err != nil || len(data) <= maxDatagramBytes:
			return data, err
		case len(message.Records) > 0:
			message.Records = halve(message.Records, &d.Omitted)
		case len(message.Loads) > 0:
			if message.Loads = halve(message.Loads, &d.Omitted); len(message.Loads) == 0 {
				message.Loads = nil // an empty list would say that there is no load
			}
		case len(message.Down) > 0:
			message.Down = halve(message.Down, &d.Omitted)
		default:
			return nil, fault.Newf("encode", KindTooLarge, "datagram of %d bytes", len(data))
		}
	}
}

// halve returns the first half of a list and counts the others.
func halve[T any](list []T, omitted *int) []T {
	kept := len(list) / 2
	*omitted += len(list) - kept
	return list[:kept]
}

// add encodes count items in as few datagrams as halving them gives. encode returns the encoding of some of
// the items. One that does not fit into a datagram, and those beyond maxReportDatagrams, are left out.
func (d *Datagrams) add(count int, encode func(first, end int) ([]byte, error)) {
	room := maxReportDatagrams
	var split func(first, end int)
	split = func(first, end int) {
		if first >= end {
			return
		}
		data, err := encode(first, end)
		switch fits := err == nil && len(data) <= maxDatagramBytes; {
		case fits && room > 0:
			room--
			d.Data = append(d.Data, data)
		case fits || end-first == 1:
			d.Omitted += end - first
		default:
			middle := (first + end) / 2
			split(first, middle)
			split(middle, end)
		}
	}
	split(0, count)
}

func (d *Datagrams) addServices(reports reportMessage, all []pool.Summary) {
	services := slices.DeleteFunc(slices.Clone(all), func(s pool.Summary) bool { return len(s.Service) > maxServiceBytes })
	d.Omitted += len(all) - len(services)
	d.add(len(services), func(first, end int) (data []byte, err error) {
		reports.Range = ServiceRange{}
		if first > 0 {
			reports.Range.After = services[first-1].Service
		}
		if end < len(services) {
			reports.Range.UpTo = services[end-1].Service
		}
		if reports.Services, err = codec.Encode(services[first:end]); err != nil {
			return nil, err
		}
		return codec.EncodeNamed(reports)
	})
}

func (d *Datagrams) addRefusals(reports reportMessage, refusals []gossip.Refusal) {
	d.add(len(refusals), func(first, end int) ([]byte, error) {
		reports.Refusals = refusals[first:end]
		return codec.EncodeNamed(reports)
	})
}

func (d *Datagrams) addCrashes(reports reportMessage, crashes []gossip.CrashReport) {
	d.add(len(crashes), func(first, end int) ([]byte, error) {
		reports.Crashes = crashes[first:end]
		return codec.EncodeNamed(reports)
	})
}

// addParts adds the reports about prompt parts. Reports and clearances are one list here.
func (d *Datagrams) addParts(reports reportMessage, parts gossip.PartFacts) {
	all := len(parts.PartReports)
	d.add(all+len(parts.PartClearances), func(first, end int) ([]byte, error) {
		reports.Parts = gossip.PartFacts{
			PartReports:    parts.PartReports[min(first, all):min(end, all)],
			PartClearances: parts.PartClearances[max(first, all)-all : max(end, all)-all],
		}
		return codec.EncodeNamed(reports)
	})
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
	message = Message{From: named.From, Receiver: named.Receiver, Facts: Facts{
		Parts: named.Parts, CrashReports: named.Crashes, Refusals: named.Refusals, Streams: named.Streams, ServiceRange: named.Range, Reach: named.Reach,
		Quota: quota.Message{Request: named.ShareRequest, Grant: named.ShareGrant},
	}}
	if len(named.Services) > 0 {
		err = codec.Decode(named.Services, &message.Services)
	}
	return message, err
}
