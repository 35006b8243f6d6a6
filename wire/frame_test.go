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
