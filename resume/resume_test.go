package resume_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

func ExampleTable() {
	table := resume.NewTable()
	table.Begin(1000, resume.Stream{Attempt: "a1", Service: "chat", Build: "v1"}, nil)
	stream, known := table.Find(2000, "a1")
	fmt.Println(stream.Build, known)
	fmt.Println(len(table.TakeUnshared(2000, func(ident.Service) bool { return true })))
	// Output:
	// v1 true
	// 1
}

// Guards against a stream that is forgotten while it may be resumed, or kept for good.
func TestStreamsAreKeptForTheirLife(t *testing.T) {
	table := resume.NewTable()
	begun := clock.Time(70_000)
	require.True(t, table.Put(begun, resume.Stream{Attempt: "a1", Service: "s", Build: "v1"}))
	for passed := clock.Span(0); passed <= resume.Life; passed += clock.Second {
		_, known := table.Find(begun.Add(passed), "a1")
		require.True(t, known, passed)
	}
	_, known := table.Find(begun.Add(3*resume.Life), "a1")
	require.False(t, known)
}

// Guards against unbounded memory, and against ids or versions that name nothing.
func TestBounds(t *testing.T) {
	table := resume.NewTable()
	for _, invalid := range []resume.Stream{{Build: "v1"}, {Attempt: "a"}, {Attempt: resume.Attempt(strings.Repeat("x", 129)), Build: "v1"}} {
		require.False(t, table.Put(1000, invalid), invalid)
	}
	for i := range 100_000 {
		table.Begin(1000, resume.Stream{Attempt: resume.Attempt(fmt.Sprint(i)), Service: "s", Build: "v1"}, nil)
	}
	kept := 0
	for i := range 100_000 {
		if _, known := table.Find(1000, resume.Attempt(fmt.Sprint(i))); known {
			kept++
		}
	}
	require.LessOrEqual(t, kept, 2*16384)
	require.Len(t, table.TakeUnshared(1000, func(ident.Service) bool { return true }), 16384)
	require.Empty(t, table.TakeUnshared(1000, func(ident.Service) bool { return true }))
}

// Guards against streams that are not shared when a second version appears although they may still be resumed.
func TestUnsharedStreamsWait(t *testing.T) {
	table := resume.NewTable()
	table.Begin(1000, resume.Stream{Attempt: "old", Service: "s", Build: "v1"}, nil)
	table.Begin(20_000, resume.Stream{Attempt: "a1", Service: "s", Build: "v1"}, []ident.Region{"r"})
	table.Begin(20_001, resume.Stream{Attempt: "a1", Service: "s", Build: "v1"}, nil)
	table.Begin(20_002, resume.Stream{Attempt: "b1", Service: "other", Build: "v1"}, nil)
	require.Empty(t, table.TakeUnshared(20_100, func(ident.Service) bool { return false }))
	got := table.TakeUnshared(1001+clock.Time(resume.Life), func(s ident.Service) bool { return s == "s" })
	require.Len(t, got, 1)
	require.Equal(t, resume.Stream{Attempt: "a1", Service: "s", Build: "v1"}, got[0].Stream)
	require.Equal(t, []ident.Region{"r"}, got[0].Homes)
}
