package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stand-in that can't be used by a script: no line with its
// address, or no end when it is told to stop.
func TestStandInsAnnounceThemselves(t *testing.T) {
	for _, tc := range []struct {
		kind  string
		flags []string
		links int
	}{
		{"engine", []string{"--name", "e1", "--region", "a"}, 0},
		{"service", []string{"--name", "o1", "--region", "a"}, 0},
		{"platform", nil, 0},
		{"link", []string{"--target", "127.0.0.1:9", "--target", "127.0.0.1:10"}, 2},
	} {
		t.Run(tc.kind, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			out, in := io.Pipe()
			status := make(chan int, 1)
			args := append([]string{"tanagerbridge", "standin", tc.kind}, tc.flags...)
			go func() { status <- Run(ctx, args, in, io.Discard) }()
			text, err := bufio.NewReader(out).ReadBytes('\n')
			require.NoError(t, err)
			var line standInLine
			require.NoError(t, json.Unmarshal(text, &line))
			require.Equal(t, tc.kind, line.Kind)
			require.NotEmpty(t, line.Address)
			require.Len(t, line.Links, tc.links)
			cancel()
			require.Zero(t, <-status)
		})
	}
}
