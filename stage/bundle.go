package stage

import (
	"encoding/json"
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// ValueName is the name of the bundle at the configuration service.
const ValueName = "bundle"

// Names of the classes of both deployments.
const (
	Short ident.Class = "short"
	Long  ident.Class = "long"
)

// document returns version 1 of the deployment's bundle with compressed times.
func (s *Stage) document() *bundle.Document {
	d := &bundle.Document{
		Version: 1, Deployment: s.cfg.Deployment, Regions: s.plan.regions,
		Homes: s.homes(), Classes: s.classes(), Services: s.services(),
		Limits:  bundle.Limits{Body: 1 << 20, Queue: 512, Caller: 64, Answers: 16 << 20, Loads: 1},
		Retry:   bundle.Retry{Share: 0.1, Burst: 10, Attempts: 3},
		Weights: weights(s.cfg.Deployment),
	}
	for _, p := range s.pairs() {
		// Half of a link is left to what is not the gateway's.
		d.Links = append(d.Links, bundle.Link{From: p.from, To: p.to, Budget: s.rate() / 2})
	}
	return d
}

// homes gives each region a home of its own name.
func (s *Stage) homes() []bundle.Home {
	var out []bundle.Home
	for _, r := range s.plan.regions {
		out = append(out, bundle.Home{Name: ident.Home(r), Regions: []ident.Region{r}})
	}
	if s.cfg.Deployment == Skovbro {
		out = append(out, bundle.Home{Name: "dk", Regions: s.plan.regions[:2]})
	}
	return out
}

func (s *Stage) classes() []bundle.Class {
	return []bundle.Class{
		{
			Name: Short, Urgency: 0, Tokens: 256, Share: 1,
			First: s.cfg.span(1600), Between: s.cfg.span(54), Deadline: s.cfg.span(20 * clock.Second),
		},
		{
			Name: Long, Urgency: 1, Tokens: 0, Share: 0.75,
			First: s.cfg.span(8 * clock.Second), Between: s.cfg.span(54), Deadline: s.cfg.span(120 * clock.Second),
		},
	}
}

func (s *Stage) services() []bundle.Service {
	return []bundle.Service{
		{
			Name: s.plan.engine, Kind: bundle.Engine, Regions: s.plan.regions,
			Continue: true, Fence: s.fenced(), Model: s.plan.model,
			Calls: []bundle.Call{}, // the strict parser refuses null
		},
		{
			Name: s.plan.plain, Kind: bundle.Plain, Regions: s.plan.regions,
			Validity: s.cfg.span(clock.Minute),
			Calls: []bundle.Call{
				{Method: http.MethodGet, Path: "/stock", Idempotent: true, Hedge: true},
				{Method: http.MethodPost, Path: "/orders", Dedupe: s.cfg.Dedupe},
			},
		},
	}
}

func weights(deployment string) bundle.Weights {
	if deployment == Kgosi {
		return bundle.Weights{Away: 2, Cost: 2, Short: 1, Tail: 1}
	}
	return bundle.Weights{Away: 1, Cost: 1, Short: 2, Tail: 2}
}

// Document returns a copy of the document published last.
func (s *Stage) Document() *bundle.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d bundle.Document
	if err := json.Unmarshal(s.published, &d); err != nil {
		panic(err) // it was encoded here
	}
	return &d
}

// Publish signs a document and publishes it at the configuration service.
func (s *Stage) Publish(d *bundle.Document) error {
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

// PublishRaw publishes any bytes in place of a signed bundle.
func (s *Stage) PublishRaw(encoded []byte) error {
	if _, err := s.Platform.Set(ValueName, encoded); err != nil {
		return fault.Wrap("publish", KindBundle, err)
	}
	return nil
}
