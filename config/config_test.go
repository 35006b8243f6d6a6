package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

func valid() config.Entry {
	e := config.Default()
	e.Name, e.Region, e.Zone = "e1", "dk-east", "dk-east-1"
	e.Platform.ConfigURL, e.Platform.InstancesURL = "http://127.0.0.1:1", "http://127.0.0.1:2"
	e.Keys = config.Keys{Bundle: "k1=AA==", Fleet: "f1=AA==", Tickets: "t1=AA=="}
	return e
}

// Guards against invalid settings that are accepted at start-up, and against
// errors that do not name the flag.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*config.Entry)
		flag   string
		kind   config.Kind
	}{
		{"no name", func(e *config.Entry) { e.Name = " " }, "--name", config.KindMissing},
		{"host name", func(e *config.Entry) { e.Listen.Caller = "localhost:80" }, "--listen", config.KindInvalid},
		{"no port", func(e *config.Entry) { e.Listen.Peer = "127.0.0.1" }, "--peer", config.KindInvalid},
		{"scheme", func(e *config.Entry) { e.Platform.ConfigURL = "ftp://127.0.0.1" }, "--values", config.KindInvalid},
		{"key text", func(e *config.Entry) { e.Keys.Bundle = "k1" }, "--bundle-keys", config.KindInvalid},
		{"policy", func(e *config.Entry) { e.Policy = "best" }, "--policy", config.KindInvalid},
		{"linger", func(e *config.Entry) { e.Drain.Linger = -1 }, "--linger", config.KindInvalid},
		{"level", func(e *config.Entry) { e.Log.Level = "loud" }, "--log-level", config.KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := valid()
			require.NoError(t, e.Check())
			tt.change(&e)
			err := e.Check()
			require.ErrorContains(t, err, tt.flag)
			require.Equal(t, tt.kind, fault.KindOf[config.Kind](err))
		})
	}
}
