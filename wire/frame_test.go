package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against frames that crash the decoder and against messages that differ after
// encoding and decoding.
func FuzzFrame(f *testing.F) {
	frame, err := encode("ping", 7, map[string]any{"a": []int{1, 2}, "b": 1.5, "c": []byte("x")})
	require.NoError(f, err)
	f.Add(frame)
	f.Add([]byte("\x00\x00\x00\x04spam"))
	f.Add([]byte{0, 0, 0, 3, 0xdd, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		content, err := readFrame(bytes.NewReader(data), func() {})
		if err != nil {
			return
		}
		e, err := decode(content)
		if err != nil {
			return
		}
		var p errorBody
		_ = unmarshal(e.Body, &p)
		again, err := msgpack.Marshal(e)
		require.NoError(t, err)
		f, err := decode(again)
		if len(e.Body) > 0 {
			require.NoError(t, err)
			require.Equal(t, e, f)
		}
	})
}

// Guards against a depth check that finds another end of a value than the decoder.
func TestDepthAgreesWithDecoder(t *testing.T) {
	values := []any{
		nil, true, 1, -1, -300, 1 << 20, 1 << 40, -(1 << 40), uint8(200), uint16(60000), float32(1), 1.5, "", "text",
		string(make([]byte, 40)), string(make([]byte, 300)), string(make([]byte, 70000)),
		[]byte{},
		make([]byte, 300),
		make([]byte, 70000),
		[]int{},
		make([]int, 20), make([]int, 70000),
		map[string]any{"a": map[string]int{"b": 1}},
	}
	for _, v := range values {
		data, err := msgpack.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, checkDepth(data), "%T", v)
		require.Error(t, checkDepth(append(data, 0xc0)))
		require.Error(t, checkDepth(data[:len(data)-1]))
	}
	require.Error(t, checkDepth(bytes.Repeat([]byte{0x91}, maxDepth+1)))
}
