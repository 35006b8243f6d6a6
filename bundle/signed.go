package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Signed is a document with its signature.
type Signed struct {
	// Key is the id of the signing key.
	Key ident.Key `json:"key"`
	// Body is the JSON text of the document.
	Body []byte `json:"body"`
	// Signature is the Ed25519 signature of Body.
	Signature []byte `json:"sign"`
}

// Sign checks the document in body and signs it. It fails with KindInvalid if the document
// is invalid or its signed form is too large for the configuration service.
func Sign(key PrivateKey, body []byte) (Signed, error) {
	if _, err := Parse(body); err != nil {
		return Signed{}, err
	}
	signed := Signed{Key: key.ID, Body: body, Signature: ed25519.Sign(key.key, body)}
	if size := len(signed.Encode()); size > MaxSize {
		return Signed{}, invalid(documentPath, "signed form is %d bytes, limit %d", size, MaxSize)
	}
	return signed, nil
}

// Verify decodes the signed form and verifies its signature with keys. It does not decode the
// body. Errors have KindInvalid or KindSignature.
func Verify(keys []PublicKey, encoded []byte) (Signed, error) {
	signed, err := ParseUnverified(encoded)
	if err != nil {
		return Signed{}, err
	}
	key, ok := findKey(keys, signed.Key)
	if !ok {
		return Signed{}, fault.Newf("verify", KindSignature, "unknown key %.64q", signed.Key)
	}
	if !ed25519.Verify(key.key, signed.Body, signed.Signature) {
		return Signed{}, fault.Newf("verify", KindSignature, "signature does not match key %q", signed.Key)
	}
	return signed, nil
}

// ParseUnverified decodes the signed form without verifying the signature. Errors have
// KindInvalid.
func ParseUnverified(encoded []byte) (Signed, error) {
	var signed Signed
	if err := decodeStrict(encoded, &signed); err != nil {
		return Signed{}, fault.Wrap("signed form", KindInvalid, err)
	}
	return signed, nil
}

// Encode returns the signed form as JSON.
func (s Signed) Encode() []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot fail: the struct holds only a string and byte slices
	}
	return encoded
}

// Digest returns the SHA-256 digest of the body.
func (s Signed) Digest() gossip.Digest { return sha256.Sum256(s.Body) }
