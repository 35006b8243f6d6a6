package codec_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

type inner struct {
	Name  string
	Sizes []int64
}

type message struct {
	ID     uint64
	Inner  []inner
	ByName map[string]inner
	Data   []byte
	Ratio  float64
	On     bool
	Next   *inner
}

func ExampleDecode() {
	data, err := codec.Encode(inner{Name: "a", Sizes: []int64{1, 2}})
	fmt.Println(len(data), err)
	var got inner
	fmt.Println(codec.Decode(data, &got), got)
	// Output:
	// 6 <nil>
	// <nil> {a [1 2]}
}

// Guards against messages that decode to something else, in either encoding of structs.
func TestRoundTrip(t *testing.T) {
	want := message{
		ID: 1 << 60, Inner: make([]inner, 70000), ByName: map[string]inner{"x": {Name: strings.Repeat("n", 300), Sizes: []int64{-1, -40, -300, -70000, -1 << 40}}},
		Data: make([]byte, 70000), Ratio: 0.5, On: true, Next: &inner{Sizes: []int64{200, 70000, 1 << 40}},
	}
	compact, err := codec.Encode(want)
	require.NoError(t, err)
	named, err := msgpack.Marshal(want)
	require.NoError(t, err)
	for _, data := range [][]byte{compact, named} {
		var got message
		require.NoError(t, codec.Decode(data, &got))
		require.Equal(t, want, got)
	}
}

// Guards against a message of a few bytes that declares more than it holds: decoding it would
// allocate that much and end the process.
func TestDeclaredLengthsAreChecked(t *testing.T) {
	for name, data := range map[string]string{
		"empty": "", "array": "\x94\x01\xddPPPP", "map": "\x94\x01\xc0\xdfPPPP", "string": "\x91\xdbPPPP", "bytes": "\x94\x01\x90\x80\xc6PPPP",
		"ext": "\xc9PPPP\x01", "half a length": "\xdd\x00", "missing element": "\x92\x01", "two values": "\x01\x01",
		"nesting": strings.Repeat("\x91", 100_000) + "\x01",
	} {
		var got message
		require.Equal(t, codec.KindMalformed, fault.KindOf[codec.Kind](codec.Decode([]byte(data), &got)), name)
	}
}

// Guards against bytes that stop the process.
func FuzzDecode(f *testing.F) {
	data, err := codec.Encode(message{Inner: []inner{{Name: "a", Sizes: []int64{1}}}, ByName: map[string]inner{"b": {}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x94\x97\xc2\xddPPPP\xdd0"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got message
		if codec.Decode(data, &got) == nil && len(got.Inner) > len(data) {
			t.Fatal("more elements than bytes")
		}
	})
}
