package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a test double that can't be used by scripts: one that does not print
// its address or does not exit when it is cancelled.
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
			var line testDoubleInfo
			require.NoError(t, json.Unmarshal(text, &line))
			require.Equal(t, tc.kind, line.Kind)
			require.NotEmpty(t, line.Address)
			require.Len(t, line.Links, tc.links)
			cancel()
			require.Zero(t, <-status)
		})
	}
}
