package proof_test

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Guards against losing the rest of a process's log after a long line, such as the end of the process.
func TestLogAfterLongLine(t *testing.T) {
	t.Parallel()
	proc := &process{name: "writer", exited: make(chan struct{}), logs: &logBuffer{}}
	proc.cmd = exec.CommandContext(t.Context(), "cat")
	proc.cmd.Stdin = strings.NewReader(strings.Repeat("x", 100<<10) + "\nlast line\n")
	out, err := proc.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, proc.cmd.Start())
	proc.readLog(out, make(chan stage.Addresses, 1))
	require.True(t, strings.HasSuffix(proc.logs.String(), "\nlast line"), "the last line is missing")
}
