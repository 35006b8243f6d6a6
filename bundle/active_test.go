package bundle_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

func newKey(t require.TestingT, id ident.Key) (bundle.PublicKey, bundle.PrivateKey) {
	public, private, err := bundle.GenerateKey(id)
	require.NoError(t, err)
	return public, private
}

// documentBody returns the sample with the given version and deployment name.
func documentBody(version ident.Version, deployment string) []byte {
	text := strings.Replace(sample, `"version": 7`, fmt.Sprintf(`"version": %d`, version), 1)
	return []byte(strings.Replace(text, "kgosi", deployment, 1))
}

func encodeSigned(t require.TestingT, key bundle.PrivateKey, version ident.Version, deployment string) []byte {
	signed, err := bundle.Sign(key, documentBody(version, deployment))
	require.NoError(t, err)
	return signed.Encode()
}

// Guards against accepting a bundle without a valid signature of a known key.
func TestOfferRejects(t *testing.T) {
	public, private := newKey(t, "k1")
	_, other := newKey(t, "k1")
	_, unknown := newKey(t, "k2")
	active := bundle.NewActive([]bundle.PublicKey{public})
	_, err := active.Offer(encodeSigned(t, private, 7, "kgosi"))
	require.NoError(t, err)
	altered := bundle.Signed{}
	require.NoError(t, json.Unmarshal(encodeSigned(t, private, 8, "kgosi"), &altered))
	altered.Body = documentBody(9, "kgosi")
	short := bundle.Signed{Key: "k1", Body: documentBody(9, "kgosi"), Signature: []byte("x")}
	cases := []struct {
		name  string
		offer []byte
		kind  bundle.Kind
	}{
		{"another key with the same id", encodeSigned(t, other, 8, "kgosi"), bundle.KindSignature},
		{"unknown key", encodeSigned(t, unknown, 8, "kgosi"), bundle.KindSignature},
		{"altered body", altered.Encode(), bundle.KindSignature},
		{"short signature", short.Encode(), bundle.KindSignature},
		{"garbage", []byte("garbage"), bundle.KindInvalid},
		{"unknown field", []byte(`{"key": "k1", "body": "", "sign": "", "more": 1}`), bundle.KindInvalid},
		{"lower version", encodeSigned(t, private, 6, "kgosi"), bundle.KindStale},
		{"another document", encodeSigned(t, private, 7, "skovbro"), bundle.KindConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			change, err := active.Offer(c.offer)
			require.Equal(t, c.kind, fault.KindOf[bundle.Kind](err), "%v", err)
			require.Zero(t, change)
			require.Equal(t, ident.Version(7), active.Identity().Version)
			require.Equal(t, "kgosi", active.Current().Deployment)
		})
	}
}

// Guards against losing a key when it is formatted and parsed, and against secrets in logs.
func TestKeyText(t *testing.T) {
	public, private := newKey(t, "k1")
	keys, err := bundle.ParseKeys(public.String() + ", " + strings.Replace(public.String(), "k1", "k2", 1))
	require.NoError(t, err)
	require.Equal(t, public, keys[0])
	read, err := bundle.ParsePrivateKey(private.Encode() + "\n")
	require.NoError(t, err)
	require.Equal(t, public, read.Public())
	require.NotContains(t, fmt.Sprintf("%v %+v %s", private, private, private), private.Encode()[3:])
	for _, text := range []string{"", "k1", "=AAAA", "k1=AAAA", "k1=!", public.String() + "," + public.String()} {
		_, err := bundle.ParseKeys(text)
		require.Equal(t, bundle.KindKey, fault.KindOf[bundle.Kind](err), text)
	}
	_, _, err = bundle.GenerateKey("k 1")
	require.Error(t, err)
}

// Guards against a document that fits although its signed form exceeds the platform's limit.
func TestSignBoundsEncodedSize(t *testing.T) {
	_, private := newKey(t, "k1")
	_, err := bundle.Sign(private, []byte(sample+strings.Repeat(" ", bundle.MaxSize*4/5)))
	require.Equal(t, bundle.KindInvalid, fault.KindOf[bundle.Kind](err))
}

// Guards against a version that decreases or whose document is replaced: two operators sign
// competing documents, and offers arrive repeatedly and in any order.
func TestActiveVersionRule(t *testing.T) {
	public, private := newKey(t, "k1")
	secondPublic, secondPrivate := newKey(t, "k2")
	var offers [6][2][]byte
	for i := range offers {
		version := ident.Version(i + 1)
		offers[i] = [2][]byte{encodeSigned(t, private, version, "north"), encodeSigned(t, secondPrivate, version, "south")}
	}
	rapid.Check(t, func(rt *rapid.T) {
		active := bundle.NewActive([]bundle.PublicKey{public, secondPublic})
		var version ident.Version
		var first []byte
		for range rapid.IntRange(1, 20).Draw(rt, "offers") {
			offered := ident.Version(rapid.IntRange(1, 6).Draw(rt, "version"))
			offer := offers[offered-1][rapid.IntRange(0, 1).Draw(rt, "operator")]
			change, err := active.Offer(offer)
			switch {
			case offered > version:
				require.NoError(rt, err)
				require.Equal(rt, bundle.Change{Old: version, New: offered}, change)
				version, first = offered, offer
			case offered < version:
				require.Equal(rt, bundle.KindStale, fault.KindOf[bundle.Kind](err))
			case string(offer) == string(first):
				require.NoError(rt, err)
				require.Equal(rt, bundle.Change{Old: offered, New: offered}, change)
			default:
				require.Equal(rt, bundle.KindConflict, fault.KindOf[bundle.Kind](err))
			}
			require.Equal(rt, version, active.Identity().Version)
			require.Equal(rt, first, active.Encoded())
		}
	})
}

// Guards against a race between offers that leaves an older or partial bundle in force. The
// race detector finds unsynchronised reads.
func TestActiveConcurrent(t *testing.T) {
	public, private := newKey(t, "k1")
	active := bundle.NewActive([]bundle.PublicKey{public})
	require.Nil(t, active.Current())
	require.Nil(t, active.Encoded())
	require.Zero(t, active.Identity())
	var group sync.WaitGroup
	for v := ident.Version(1); v <= 20; v++ {
		offer := encodeSigned(t, private, v, "kgosi")
		group.Go(func() {
			_, _ = active.Offer(offer)
			assert.GreaterOrEqual(t, active.Current().Version, v)
		})
	}
	group.Wait()
	require.Equal(t, ident.Version(20), active.Current().Version)
	require.Equal(t, sha256.Sum256(documentBody(20, "kgosi")), [32]byte(active.Identity().Digest))
}

// Guards against input that panics the parser, or that Parse accepts and Check rejects.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{sample, "", "{}", "null", "[]", `{"version": 1e3}`, `{"homes": [{"regions": [[]]}]}`, sample + "}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		document, err := bundle.Parse(input)
		if err != nil {
			return
		}
		require.NoError(t, document.Check())
		require.NotNil(t, document.ClassFor(0))
	})
}
