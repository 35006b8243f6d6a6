package stage_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

func listInstances(t *testing.T, s *stage.Deployment, view ident.Region) []watch.Instance {
	t.Helper()
	r, err := http.Get(s.Platform.URL() + "/v1/instances?view=" + string(view))
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	var out struct{ Instances []watch.Instance }
	require.NoError(t, json.NewDecoder(r.Body).Decode(&out))
	return out.Instances
}

// Guards against a topology that differs from the design page, against an invalid initial
// bundle, and against traffic between regions that bypasses the links.
func TestDeploymentNetwork(t *testing.T) {
	for _, tc := range []struct {
		deployment              string
		engines, plainInstances int
		first, other            ident.Region
	}{
		{stage.Kgosi, 18, 3, "gauteng", "kzn"},
		{stage.Skovbro, 9, 3, "dk-east", "se-south"},
	} {
		t.Run(tc.deployment, func(t *testing.T) {
			s, err := stage.Start(t.Context(), stage.Config{Deployment: tc.deployment, NoEntries: true})
			require.NoError(t, err)
			t.Cleanup(s.Close)
			require.NoError(t, s.Document().Check())
			own, far := listInstances(t, s, tc.first), listInstances(t, s, tc.other)
			require.Len(t, own, tc.engines+tc.plainInstances)
			for i := range own {
				// A view has the direct addresses of its own region and link addresses for the others.
				same := own[i].Address == far[i].Address
				require.False(t, same, own[i].Name)
			}
			load := func(limit time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+far[0].Address+"/v1/load", http.NoBody)
				resp, err := http.DefaultClient.Do(r)
				if err == nil {
					_ = resp.Body.Close()
				}
				return err
			}
			start := time.Now()
			require.NoError(t, load(10*time.Second))
			require.GreaterOrEqual(t, time.Since(start), 2*s.Delay())
			require.Positive(t, s.BytesSent(tc.other, tc.first))
			s.Partition(tc.first)
			require.Error(t, load(4*s.Delay()))
			s.Heal()
			require.NoError(t, load(10*time.Second))
		})
	}
}

// Guards against a published bundle that can't be decoded, and against one of an old version.
func TestDeploymentPublishesSigned(t *testing.T) {
	s, err := stage.Start(t.Context(), stage.Config{NoEntries: true, Speedup: 20})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	document := s.Document()
	require.Equal(t, ident.Version(1), document.Version)
	document.Version = 2
	require.NoError(t, s.Publish(document))
	require.Equal(t, ident.Version(2), s.Document().Version)
	r, err := http.Get(s.Platform.URL() + "/v1/value/" + stage.BundleName)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	var signed bundle.Signed
	require.NoError(t, json.NewDecoder(r.Body).Decode(&signed))
	parsed, err := bundle.Parse(signed.Body)
	require.NoError(t, err)
	require.Equal(t, ident.Version(2), parsed.Version)
}
