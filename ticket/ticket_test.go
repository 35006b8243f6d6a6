package ticket

import (
	"encoding/base64"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	current  = "t2=" + base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))
	previous = "t1=" + base64.StdEncoding.EncodeToString([]byte("fedcba9876543210"))
	sample   = Ticket{"e1", 1 << 63, 9, "order-desk", "kzn", 61_000}
)

func mustParseKeys(tb testing.TB, text string) *Keys {
	tb.Helper()
	keys, err := ParseKeys(text)
	require.NoError(tb, err)
	return keys
}

// Guards against a key rotation that invalidates tickets signed with the previous key
// while that key is still configured.
func TestRotation(t *testing.T) {
	old, both, next := mustParseKeys(t, previous), mustParseKeys(t, current+", "+previous), mustParseKeys(t, current)
	for _, k := range []*Keys{old, both} {
		got, err := both.Decode(k.Encode(sample))
		require.NoError(t, err)
		require.Equal(t, sample, got)
	}
	_, err := next.Decode(both.Encode(sample))
	require.NoError(t, err)
	_, err = next.Decode(old.Encode(sample))
	require.Equal(t, KindKey, fault.KindOf[Kind](err))
	require.Equal(t, "t2,t1", both.String())
}

// Guards against malformed or forged tickets that are accepted or reported with the
// wrong error kind.
func TestDecodeRejects(t *testing.T) {
	keys := mustParseKeys(t, current+","+previous)
	text := keys.Encode(sample)
	parts := strings.Split(text, ".")
	other := strings.Split(keys.Encode(Ticket{Entry: "e2"}), ".")
	cases := []struct {
		name, text string
		kind       Kind
	}{
		{"empty", "", KindMalformed},
		{"no hash", parts[0] + "." + parts[1], KindMalformed},
		{"not base64", parts[0] + ".!." + parts[2], KindMalformed},
		{"line break", parts[0] + "." + parts[1] + "\n." + parts[2], KindMalformed},
		{"too long", text + strings.Repeat("A", maxTicketBytes), KindMalformed},
		{"other body", parts[0] + "." + other[1] + "." + parts[2], KindForged},
		{"other key", "t1." + parts[1] + "." + parts[2], KindForged},
		{"short hash", parts[0] + "." + parts[1] + ".", KindForged},
		{"unknown key", "t9." + parts[1] + "." + parts[2], KindKey},
		{"signed garbage", keys.keys[0].sign([]byte("\xc1")), KindMalformed},
		{"signed rest", keys.keys[0].sign(append(marshal(sample), 0)), KindMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := keys.Decode(c.text)
			require.Equal(t, c.kind, fault.KindOf[Kind](err), "%v", err)
		})
	}
}

// Guards against weak, malformed or duplicate keys that are accepted, and against
// secrets in errors and logs.
func TestParseKeysRejects(t *testing.T) {
	secret := strings.TrimPrefix(current, "t2=")
	for _, text := range []string{"", "t2", "t.2=" + secret, "=" + secret, "t2=AAAA", "t2=" + secret + "!", current + "," + current, current + ","} {
		_, err := ParseKeys(text)
		require.Equal(t, KindKey, fault.KindOf[Kind](err), text)
		require.NotContains(t, err.Error(), secret)
	}
	require.NotContains(t, fmt.Sprintf("%v %+v", mustParseKeys(t, current), mustParseKeys(t, current)), secret)
}

// Guards against fields that are lost in the encoding and against tickets that exceed
// the size limit.
func TestRoundTrip(t *testing.T) {
	keys := mustParseKeys(t, current)
	name := rapid.StringN(0, 64, 64)
	rapid.Check(t, func(rt *rapid.T) {
		want := Ticket{
			ident.Entry(name.Draw(rt, "entry")), ident.Incarnation(rapid.Uint64().Draw(rt, "incarnation")),
			rapid.Uint64().Draw(rt, "sequence"), ident.Service(name.Draw(rt, "service")),
			ident.Home(name.Draw(rt, "home")), clock.Time(rapid.Int64().Draw(rt, "deadline")),
		}
		got, err := keys.Decode(keys.Encode(want))
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
}

// Guards against input that panics the decoder, with or without a valid signature, and
// against two encodings of the same ticket.
func FuzzDecode(f *testing.F) {
	keys := mustParseKeys(f, current+","+previous)
	for _, seed := range []string{"", "..", keys.Encode(sample), mustParseKeys(f, previous).Encode(sample), "t2.AA.AA", "\xc1", "\x96\xa1a\x01\x02\xa0\xa0\x03", "\xdf\xff\xff\xff\xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input string) {
		if got, err := keys.Decode(input); err == nil {
			id, _, _ := strings.Cut(input, ".")
			signer, _ := keys.find(ident.Key(id))
			require.Equal(t, signer.sign(marshal(got)), input)
		}
		if got, err := keys.Decode(keys.keys[0].sign([]byte(input))); err == nil {
			decoded, err := keys.Decode(keys.Encode(got))
			require.NoError(t, err)
			require.Equal(t, got, decoded)
		}
	})
}
