package mesh_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

// Guards against a panic in one round that ends the process and with it all requests.
func TestRoundsContinueAfterPanic(t *testing.T) {
	var calls, panics atomic.Int64
	_, err := mesh.Start(t.Context(), mesh.Config{
		Self: mesh.Record{Name: "a", Mesh: "127.0.0.1:0"}, Clock: clock.NewSystem(), Log: zap.NewNop(),
		Facts: func() mesh.Facts {
			if calls.Add(1) == 1 {
				panic("first round")
			}
			return mesh.Facts{}
		},
		OnFacts: func(mesh.Record, mesh.Facts) {}, OnPanic: func() { panics.Add(1) },
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return calls.Load() > 1 }, 20*time.Second, time.Millisecond)
	require.EqualValues(t, 1, panics.Load())
}
