package bundle_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// documentWithServices returns a document with the given number of services in 4 regions.
func documentWithServices(b *testing.B, services int, version ident.Version) []byte {
	b.Helper()
	var document bundle.Document
	require.NoError(b, json.Unmarshal(documentBody(version, "bench"), &document))
	document.Regions = []ident.Region{"region-a", "region-b", "region-c", "region-d"}
	document.Homes, document.Links, document.Services = []bundle.Home{}, []bundle.Link{}, nil
	for _, r := range document.Regions {
		document.Homes = append(document.Homes, bundle.Home{Name: ident.Home(r), Regions: []ident.Region{r}})
		for _, to := range document.Regions {
			if to != r {
				document.Links = append(document.Links, bundle.Link{From: r, To: to, Budget: 6_000_000})
			}
		}
	}
	for i := range services {
		document.Services = append(document.Services, bundle.Service{
			Name: ident.Service(fmt.Sprintf("assistant-%d", i)), Kind: bundle.Engine, Regions: document.Regions,
			Continue: true, ChecksFence: true, Model: fmt.Sprintf("model-%d", i), Calls: []bundle.Call{},
		})
	}
	encoded, err := json.Marshal(document)
	require.NoError(b, err)
	return encoded
}

// BenchmarkOffer verifies, parses and puts in force bundles of up to nearly 1 MB, the limit
// of the configuration service.
func BenchmarkOffer(b *testing.B) {
	for _, services := range []int{2, 26, 400, 4000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			public, private := newKey(b, "k1")
			signed, err := bundle.Sign(private, documentWithServices(b, services, 1))
			require.NoError(b, err)
			encoded := signed.Encode()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bundle.NewActive([]bundle.PublicKey{public}).Offer(encoded); err != nil {
					b.Fatal(err)
				}
			}
			var compressed bytes.Buffer
			writer := gzip.NewWriter(&compressed)
			_, _ = writer.Write(encoded)
			_ = writer.Close()
			b.ReportMetric(float64(len(encoded)), "encoded-B")
			b.ReportMetric(float64(compressed.Len()), "gzip-B")
		})
	}
}
