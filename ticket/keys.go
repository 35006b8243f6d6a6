package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// minSecretBytes is the minimum length of a secret: 16 bytes cannot be guessed.
	minSecretBytes = 16
	maxSecretBytes = 1024
	maxKeyIDBytes  = 64
	// maxTicketBytes bounds the encoded ticket. Names of 64 bytes each give about 500 bytes.
	maxTicketBytes = 2048
)

// base64URL rejects non-canonical trailing bits, so that each ticket has exactly one encoding.
var base64URL = base64.RawURLEncoding.Strict()

// Keys is a key ring: it signs tickets with the first key and verifies tickets signed
// with any of its keys. It is immutable and safe for concurrent use.
type Keys struct {
	keys []key
}

type key struct {
	id     ident.Key
	secret []byte
}

// ParseKeys parses the setting "id=base64,id=base64", which lists the current key
// first. Secrets have 16 to 1024 bytes; ids have up to 64 letters, digits, '-' or '_'.
// Errors are of KindKey and do not contain the secrets.
func ParseKeys(text string) (*Keys, error) {
	parsed := &Keys{}
	for part := range strings.SplitSeq(text, ",") {
		candidate, err := parseKey(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if _, ok := parsed.find(candidate.id); ok {
			return nil, fault.Newf("parse", KindKey, "id %q occurs twice", candidate.id)
		}
		parsed.keys = append(parsed.keys, candidate)
	}
	return parsed, nil
}

func parseKey(text string) (key, error) {
	id, encoded, ok := strings.Cut(text, "=")
	if !ok || !validKeyID(id) {
		return key{}, fault.Newf("parse", KindKey, "want id=base64")
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return key{}, fault.Newf("parse", KindKey, "key %q is not base64", id)
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return key{}, fault.Newf("parse", KindKey, "key %q has %d bytes, want %d to %d", id, len(secret), minSecretBytes, maxSecretBytes)
	}
	return key{ident.Key(id), secret}, nil
}

func validKeyID(id string) bool {
	return id != "" && len(id) <= maxKeyIDBytes && !strings.ContainsFunc(id, func(char rune) bool {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		return !letter && (char < '0' || char > '9') && char != '-' && char != '_'
	})
}

// String returns the comma-separated key ids, without the secrets.
func (k *Keys) String() string {
	var ids []string
	for _, c := range k.keys {
		ids = append(ids, string(c.id))
	}
	return strings.Join(ids, ",")
}

func (k *Keys) find(id ident.Key) (key, bool) {
	for _, c := range k.keys {
		if c.id == id {
			return c, true
		}
	}
	return key{}, false
}

// Encode serialises and signs a ticket in a form that is valid as an HTTP header value:
// the key id, the msgpack encoding and the HMAC-SHA256 of both, joined by dots. The
// last two parts are base64url.
func (k *Keys) Encode(ticket Ticket) string {
	return k.keys[0].sign(marshal(ticket))
}

// Decode parses a ticket and verifies its signature. Errors are of KindMalformed,
// KindForged for a wrong signature, or KindKey for an unknown key.
func (k *Keys) Decode(text string) (Ticket, error) {
	if len(text) > maxTicketBytes {
		return Ticket{}, fault.Newf("decode", KindMalformed, "longer than %d bytes", maxTicketBytes)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || !validKeyID(parts[0]) {
		return Ticket{}, fault.Newf("decode", KindMalformed, "want id.ticket.hash")
	}
	body, bodyErr := base64URL.DecodeString(parts[1])
	sum, sumErr := base64URL.DecodeString(parts[2])
	if bodyErr != nil || sumErr != nil || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, fault.Newf("decode", KindMalformed, "not base64url")
	}
	candidate, ok := k.find(ident.Key(parts[0]))
	if !ok {
		return Ticket{}, fault.Newf("decode", KindKey, "key %q is unknown", parts[0])
	}
	if !hmac.Equal(sum, candidate.mac(parts[1])) {
		return Ticket{}, fault.New("decode", KindForged)
	}
	return unmarshal(body)
}

func (k key) sign(body []byte) string {
	text := base64URL.EncodeToString(body)
	return string(k.id) + "." + text + "." + base64URL.EncodeToString(k.mac(text))
}

// mac authenticates the key id together with the encoded body. Key ids contain no dot,
// so the two cannot be confused.
func (k key) mac(text string) []byte {
	hash := hmac.New(sha256.New, k.secret)
	hash.Write([]byte(string(k.id) + "." + text))
	return hash.Sum(nil)
}

func marshal(ticket Ticket) []byte {
	data, err := codec.Encode(ticket)
	if err != nil {
		panic(err) // encoding strings and integers to a buffer cannot fail
	}
	return data
}

func unmarshal(body []byte) (Ticket, error) {
	var ticket Ticket
	if err := codec.Decode(body, &ticket); err != nil {
		return Ticket{}, fault.Wrap("decode", KindMalformed, err)
	}
	return ticket, nil
}
