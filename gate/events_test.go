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
		{"id: 5\r\ndata: a\r\n\r\nid: 6\r\n\r\n", "6"},
		{"id: 5\rdata: a\r\rid: 6\rdata: b\r\r", "6"},
	} {
		require.Equal(t, c.want, lastEventID([]byte(c.events)), c.events)
	}
}

// Guards against events that are held back, or cut, because of their line ends.
func TestCompleteEvents(t *testing.T) {
	for _, c := range []struct{ pending, want string }{
		{"", ""},
		{"data: a\n", ""},
		{"data: a\n\ndata: b\n", "data: a\n\n"},
		{"data: a\r\n\r\ndata: b\r\n", "data: a\r\n\r\n"},
		{"data: a\r\n\r", ""}, // a line feed may follow
		{"data: a\r\n", ""},
		{"data: a\r", ""},
		{"data: a\r\rdata: b\r", "data: a\r\r"},
		{"data: a\n\r\n", "data: a\n\r\n"},
		{"\n", "\n"},
		{"\ndata: b", "\n"},
	} {
		require.Equal(t, c.want, c.pending[:completeEvents([]byte(c.pending))], "%q", c.pending)
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
