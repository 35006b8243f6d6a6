package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// PublicKey verifies the signatures of bundles.
type PublicKey struct {
	ID  ident.Key
	key ed25519.PublicKey
}

// PrivateKey signs bundles.
type PrivateKey struct {
	ID  ident.Key
	key ed25519.PrivateKey
}

// GenerateKey generates a key pair. It fails with KindKey if id is not a name of 1 to 64
// letters, digits, '.', '-' or '_'.
func GenerateKey(id ident.Key) (PublicKey, PrivateKey, error) {
	if !validName(string(id)) {
		return PublicKey{}, PrivateKey{}, fault.Newf("generate", KindKey, "id %.64q is not a name of 1 to 64 letters, digits, '.', '-' or '_'", id)
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return PublicKey{}, PrivateKey{}, fault.Wrap("generate", KindKey, err)
	}
	return PublicKey{id, public}, PrivateKey{id, private}, nil
}

// String returns the key in the form "id=base64".
func (k PublicKey) String() string { return formatKey(k.ID, k.key) }

// String returns the id without the secret, so that logging a key does not disclose it. Use
// Encode to get the secret.
func (k PrivateKey) String() string { return string(k.ID) + "=(private)" }

// Encode returns the key's 32-byte seed in the form "id=base64".
func (k PrivateKey) Encode() string { return formatKey(k.ID, k.key.Seed()) }

// Public returns the key that verifies the signatures of the private key.
func (k PrivateKey) Public() PublicKey {
	return PublicKey{k.ID, ed25519.PublicKey(k.key[ed25519.SeedSize:])}
}

// ParsePublicKey parses a key in the form "id=base64". Errors have KindKey.
func ParsePublicKey(text string) (PublicKey, error) {
	id, bytes, err := parseKey(text, ed25519.PublicKeySize)
	if err != nil {
		return PublicKey{}, err
	}
	return PublicKey{id, bytes}, nil
}

// ParseKeys parses keys in the form "id=base64,id=base64". Duplicate ids and malformed keys
// are errors of KindKey.
func ParseKeys(text string) ([]PublicKey, error) {
	var keys []PublicKey
	for part := range strings.SplitSeq(text, ",") {
		key, err := ParsePublicKey(part)
		if err != nil {
			return nil, err
		}
		if _, ok := findKey(keys, key.ID); ok {
			return nil, fault.Newf("parse", KindKey, "duplicate key id %q", key.ID)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// ParsePrivateKey parses the result of PrivateKey.Encode. Errors have KindKey.
func ParsePrivateKey(text string) (PrivateKey, error) {
	id, bytes, err := parseKey(text, ed25519.SeedSize)
	if err != nil {
		return PrivateKey{}, err
	}
	return PrivateKey{id, ed25519.NewKeyFromSeed(bytes)}, nil
}

func formatKey(id ident.Key, bytes []byte) string {
	return string(id) + "=" + base64.StdEncoding.EncodeToString(bytes)
}

// parseKey parses "id=base64". Errors do not contain the text, which may be a secret.
func parseKey(text string, size int) (ident.Key, []byte, error) {
	id, encoded, ok := strings.Cut(strings.TrimSpace(text), "=")
	if !ok || !validName(id) {
		return "", nil, fault.Newf("parse", KindKey, "want id=base64")
	}
	bytes, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", nil, fault.Newf("parse", KindKey, "key %q is not base64", id)
	}
	if len(bytes) != size {
		return "", nil, fault.Newf("parse", KindKey, "key %q has %d bytes, want %d", id, len(bytes), size)
	}
	return ident.Key(id), bytes, nil
}

func findKey(keys []PublicKey, id ident.Key) (PublicKey, bool) {
	for _, k := range keys {
		if k.ID == id && k.key != nil {
			return k, true
		}
	}
	return PublicKey{}, false
}
