package gate

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is resumed after the wrong event.
func TestLastID(t *testing.T) {
	for _, c := range []struct{ events, want string }{
		{"id: 1\ndata: a\n\nid: 12\ndata: b\n\n", "12"},
		{"data: a\nid:7\n\n", "7"},
		{"id: 3\ndata: a\n\ndata: without\n\n", "3"},
		{"data: id: 9\n\n", ""},
		{"weights: 3\nid: 4\ndata: x\n\n", "4"},
		{"\n\n", ""},
	} {
		require.Equal(t, c.want, lastEventID([]byte(c.events)), c.events)
	}
}

func FuzzLastID(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Fuzz(func(t *testing.T, events string) {
		if id := lastEventID([]byte(events)); id != "" && !strings.Contains(events, id) {
			t.Fatalf("%q is not in the events", id)
		}
	})
}
