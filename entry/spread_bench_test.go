package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// BenchmarkSpread publishes a bundle version and waits until every entry has it in force,
// with the network latencies of a deployment. It reports the time, and the inter-region
// traffic above the idle rate from the publication until 1 s after that.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{4, 12, 36} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s, err := stage.Start(b.Context(), stage.Config{Deployment: stage.Kgosi, Seed: 1, Entries: n})
			require.NoError(b, err)
			defer s.Close()
			require.NoError(b, s.WaitReady(b.Context()))
			time.Sleep(3 * time.Second)
			version := ident.Version(1)
			var took, idleTime time.Duration
			var bytes, idleBytes ident.Bytes
			for b.Loop() {
				before := interRegionBytes(s)
				start := time.Now()
				time.Sleep(2 * time.Second)
				idleBytes, idleTime = idleBytes+interRegionBytes(s)-before, idleTime+time.Since(start)

				version++
				d := s.Document()
				d.Version = version
				before, start = interRegionBytes(s), time.Now()
				require.NoError(b, s.Publish(d))
				for _, e := range s.Entries() {
					awaitVersion(b, e, version)
				}
				took += time.Since(start)
				time.Sleep(time.Second)
				share := float64(idleBytes) / float64(idleTime) * float64(time.Since(start))
				bytes += interRegionBytes(s) - before - ident.Bytes(share)
			}
			changes := float64(version - 1)
			b.ReportMetric(float64(took.Milliseconds())/changes, "ms-to-all")
			b.ReportMetric(float64(bytes)/changes/float64(n), "link-B/entry/change")
			b.ReportMetric(float64(idleBytes)/idleTime.Seconds()/float64(n), "quiet-link-B/entry/s")
		})
	}
}

func interRegionBytes(s *stage.Deployment) ident.Bytes {
	var sum ident.Bytes
	for _, from := range s.Regions() {
		for _, to := range s.Regions() {
			sum += s.BytesSent(from, to)
		}
	}
	return sum
}

func awaitVersion(b *testing.B, e *stage.Entry, version ident.Version) {
	b.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var got status.Status
		if err := readJSON(b.Context(), "http://"+e.AdminAddress()+status.PathStatus, &got); err == nil && got.Version >= version {
			return
		}
	}
	b.Fatalf("%s does not have version %d", e.Name, version)
}

func readJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
