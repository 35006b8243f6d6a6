package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Signed is a document with its signature.
type Signed struct {
	// Key is the id of the key that signed.
	Key ident.Key `json:"key"`
	// Body is the text of the document.
	Body []byte `json:"body"`
	// Sign is the ed25519 signature of Body.
	Sign []byte `json:"sign"`
}

// Sign checks the document in body and signs it. It fails with KindInvalid if
// the document is invalid or its signed form is too large for the
// configuration service.
func Sign(k PrivateKey, body []byte) (Signed, error) {
	if _, err := Parse(body); err != nil {
		return Signed{}, err
	}
	s := Signed{Key: k.ID, Body: body, Sign: ed25519.Sign(k.key, body)}
	if n := len(s.Encode()); n > MaxSize {
		return Signed{}, invalid(root, "the signed form has %d bytes, more than %d", n, MaxSize)
	}
	return s, nil
}

// Open reads the signed form and verifies it against keys, but does not look
// into the body.
func Open(keys []PublicKey, encoded []byte) (Signed, error) {
	s, err := Unverified(encoded)
	if err != nil {
		return Signed{}, err
	}
	k, ok := findKey(keys, s.Key)
	if !ok {
		return Signed{}, fault.Newf("verify", KindSignature, "key %.64q is unknown", s.Key)
	}
	if !ed25519.Verify(k.key, s.Body, s.Sign) {
		return Signed{}, fault.Newf("verify", KindSignature, "the signature does not match key %q", s.Key)
	}
	return s, nil
}

// Unverified reads the signed form without verifying the signature.
func Unverified(encoded []byte) (Signed, error) {
	var s Signed
	if err := decode(encoded, &s); err != nil {
		return Signed{}, fault.Wrap("signed form", KindInvalid, err)
	}
	return s, nil
}

// Encode returns the signed form as JSON.
func (s Signed) Encode() []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of text and bytes always has a JSON form
	}
	return encoded
}

// Digest returns the SHA-256 of the body.
func (s Signed) Digest() news.Digest { return sha256.Sum256(s.Body) }
