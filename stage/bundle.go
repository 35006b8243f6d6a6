package stage

import (
	"encoding/json"
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// BundleName is the name under which the configuration service holds the bundle.
const BundleName = "bundle"

// Names of the request classes, which are the same in both deployments.
const (
	ClassShort ident.Class = "short"
	ClassLong  ident.Class = "long"
)

// initialDocument returns version 1 of the deployment's bundle, with times divided by
// Config.Speedup.
func (s *Deployment) initialDocument() *bundle.Document {
	document := &bundle.Document{
		Version: 1, Deployment: s.cfg.Deployment, Regions: s.spec.regions,
		Homes: s.homes(), Classes: s.classes(), Services: s.services(),
		Limits:  bundle.Limits{Body: 1 << 20, Queue: 512, Caller: 64, Answers: 16 << 20, Loads: 1},
		Retry:   bundle.Retry{Ratio: 0.1, Burst: 10, MaxAttempts: 3},
		Weights: routingWeights(s.cfg.Deployment),
	}
	for _, p := range s.regionPairs() {
		// The other half of the bandwidth is left to traffic that is not the gateway's.
		document.Links = append(document.Links, bundle.Link{From: p.from, To: p.to, Budget: s.bandwidth() / 2})
	}
	return document
}

// homes returns a home for each region, under the region's name. Skovbro has another one,
// "dk", for its two Danish regions.
func (s *Deployment) homes() []bundle.Home {
	var out []bundle.Home
	for _, r := range s.spec.regions {
		out = append(out, bundle.Home{Name: ident.Home(r), Regions: []ident.Region{r}})
	}
	if s.cfg.Deployment == Skovbro {
		out = append(out, bundle.Home{Name: "dk", Regions: s.spec.regions[:2]})
	}
	return out
}

func (s *Deployment) classes() []bundle.Class {
	return []bundle.Class{
		{
			Name: ClassShort, Urgency: 0, MaxTokens: 256, MaxShare: 1,
			FirstTokenTarget: s.cfg.compressSpan(1600), BetweenTokensTarget: s.cfg.compressSpan(54), Deadline: s.cfg.compressSpan(20 * clock.Second),
		},
		{
			Name: ClassLong, Urgency: 1, MaxTokens: 0, MaxShare: 0.75,
			FirstTokenTarget: s.cfg.compressSpan(8 * clock.Second), BetweenTokensTarget: s.cfg.compressSpan(54), Deadline: s.cfg.compressSpan(120 * clock.Second),
		},
	}
}

func (s *Deployment) services() []bundle.Service {
	return []bundle.Service{
		{
			Name: s.spec.engineService, Kind: bundle.Engine, Regions: s.spec.regions,
			Continue: true, ChecksFence: s.usesFencing(), Model: s.spec.model,
			Calls: []bundle.Call{}, // not nil: the strict parser rejects null
		},
		{
			Name: s.spec.plainService, Kind: bundle.Plain, Regions: s.spec.regions,
			Validity: s.cfg.compressSpan(clock.Minute),
			Calls: []bundle.Call{
				{Method: http.MethodGet, Path: "/stock", Idempotent: true, Hedge: true},
				{Method: http.MethodPost, Path: "/orders", KeyHeader: s.cfg.KeyHeader},
			},
		},
	}
}

func routingWeights(deployment string) bundle.Weights {
	if deployment == Kgosi {
		return bundle.Weights{Away: 2, Cost: 2, Short: 1, Tail: 1}
	}
	return bundle.Weights{Away: 1, Cost: 1, Short: 2, Tail: 2}
}

// Document returns a copy of the last document passed to Publish.
func (s *Deployment) Document() *bundle.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	var document bundle.Document
	if err := json.Unmarshal(s.published, &document); err != nil {
		panic(err) // can't happen: Publish encoded it
	}
	return &document
}

// Publish signs a document and publishes it at the configuration service. It returns a
// KindBundle error on failure.
func (s *Deployment) Publish(d *bundle.Document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return fault.Wrap("publish", KindBundle, err)
	}
	signed, err := bundle.Sign(s.private, body)
	if err != nil {
		return fault.Wrap("publish", KindBundle, err)
	}
	s.mu.Lock()
	s.published = body
	s.mu.Unlock()
	return s.PublishRaw(signed.Encode())
}

// PublishRaw publishes arbitrary bytes in place of a signed bundle, to test how entries
// handle them. It returns a KindBundle error on failure.
func (s *Deployment) PublishRaw(encoded []byte) error {
	if _, err := s.Platform.PublishValue(BundleName, encoded); err != nil {
		return fault.Wrap("publish", KindBundle, err)
	}
	return nil
}
