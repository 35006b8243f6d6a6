package codec

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

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
