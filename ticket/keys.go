package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// minSecret and maxSecret bound the bytes of a key. 16 bytes can't be guessed.
	minSecret = 16
	maxSecret = 1024
	maxID     = 64
	// maxText bounds the encoded ticket in bytes. Names of 64 bytes each give about 500.
	maxText = 2048
)

// encoding is strict, so that a ticket has only one text.
var encoding = base64.RawURLEncoding.Strict()

// Keys signs tickets with its first key and accepts tickets signed with any of
// its keys. It is immutable and safe for concurrent use.
type Keys struct {
	keys []key
}

type key struct {
	id     ident.Key
	secret []byte
}

// ParseKeys reads the settings text "id=base64,id=base64" with the current key
// first. Each secret has 16 to 1024 bytes; ids have up to 64 letters, digits,
// '-' or '_'. Errors have KindKey and don't repeat the text, which is secret.
func ParseKeys(text string) (*Keys, error) {
	k := &Keys{}
	for part := range strings.SplitSeq(text, ",") {
		one, err := parseKey(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if _, ok := k.find(one.id); ok {
			return nil, fault.Newf("parse", KindKey, "id %q occurs twice", one.id)
		}
		k.keys = append(k.keys, one)
	}
	return k, nil
}

func parseKey(text string) (key, error) {
	id, encoded, ok := strings.Cut(text, "=")
	if !ok || !validID(id) {
		return key{}, fault.Newf("parse", KindKey, "want id=base64")
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return key{}, fault.Newf("parse", KindKey, "key %q is not base64", id)
	}
	if len(secret) < minSecret || len(secret) > maxSecret {
		return key{}, fault.Newf("parse", KindKey, "key %q has %d bytes, want %d to %d", id, len(secret), minSecret, maxSecret)
	}
	return key{ident.Key(id), secret}, nil
}

func validID(id string) bool {
	return id != "" && len(id) <= maxID && !strings.ContainsFunc(id, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
	})
}

// String lists the ids of the keys without the secrets.
func (k *Keys) String() string {
	var ids []string
	for _, one := range k.keys {
		ids = append(ids, string(one.id))
	}
	return strings.Join(ids, ",")
}

func (k *Keys) find(id ident.Key) (key, bool) {
	for _, one := range k.keys {
		if one.id == id {
			return one, true
		}
	}
	return key{}, false
}

// Encode returns the text of t, which fits in a header: the key id, the msgpack
// form and the keyed hash of both, joined by dots, the last two in base64url.
func (k *Keys) Encode(t Ticket) string {
	return k.keys[0].seal(pack(t))
}

// Decode verifies the text of a ticket. Kinds of error: KindMalformed,
// KindForged and KindKey for an unknown key.
func (k *Keys) Decode(text string) (Ticket, error) {
	if len(text) > maxText {
		return Ticket{}, fault.Newf("decode", KindMalformed, "longer than %d bytes", maxText)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || !validID(parts[0]) {
		return Ticket{}, fault.Newf("decode", KindMalformed, "want id.ticket.hash")
	}
	body, bodyErr := encoding.DecodeString(parts[1])
	sum, sumErr := encoding.DecodeString(parts[2])
	if bodyErr != nil || sumErr != nil || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, fault.Newf("decode", KindMalformed, "not base64url")
	}
	one, ok := k.find(ident.Key(parts[0]))
	if !ok {
		return Ticket{}, fault.Newf("decode", KindKey, "key %q is unknown", parts[0])
	}
	if !hmac.Equal(sum, one.sum(parts[1])) {
		return Ticket{}, fault.New("decode", KindForged)
	}
	return unpack(body)
}

func (k key) seal(body []byte) string {
	text := encoding.EncodeToString(body)
	return string(k.id) + "." + text + "." + encoding.EncodeToString(k.sum(text))
}

// sum hashes the key id and the encoded body; the id contains no dot.
func (k key) sum(text string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(string(k.id) + "." + text))
	return h.Sum(nil)
}

func pack(t Ticket) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(t); err != nil {
		panic(err) // a struct of text and numbers always has a msgpack form
	}
	return b.Bytes()
}

func unpack(body []byte) (Ticket, error) {
	var t Ticket
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(&t); err != nil {
		return Ticket{}, fault.Wrap("decode", KindMalformed, err)
	}
	if r.Len() > 0 {
		return Ticket{}, fault.Newf("decode", KindMalformed, "%d bytes after the ticket", r.Len())
	}
	return t, nil
}
