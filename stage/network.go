package stage

import (
	"time"

	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// pair is one direction between two regions.
type pair struct{ from, to ident.Region }

// direction is the network from one region to another.
type direction struct {
	pair
	path *fakes.Path
}

// link is how one region reaches an address in another.
type link struct {
	view   ident.Region
	target string
	proxy  *fakes.Link
}

// pairs lists all ordered pairs of regions.
func (s *Stage) pairs() []pair {
	var out []pair
	for _, a := range s.plan.regions {
		for _, b := range s.plan.regions {
			if a != b {
				out = append(out, pair{a, b})
			}
		}
	}
	return out
}

// rate returns the bandwidth of a direction. It grows as times shrink, so that
// the same amount of data takes the same share of them.
func (s *Stage) rate() ident.Bytes { return ident.Bytes(float64(s.plan.rate) * s.cfg.Speed) }

func (s *Stage) buildPaths() {
	for _, p := range s.pairs() {
		path := fakes.NewPath(fakes.PathConfig{Delay: s.cfg.duration(s.plan.delay), Rate: s.rate()})
		s.directions = append(s.directions, direction{p, path})
	}
}

// Path returns the network from one region to another, or nil if the regions
// are unknown or the same.
func (s *Stage) Path(from, to ident.Region) *fakes.Path {
	for _, d := range s.directions {
		if d.from == from && d.to == to {
			return d.path
		}
	}
	return nil
}

// reach returns the address at which readers in the view's region reach a
// target in another: the target itself within a region, else a link's address.
func (s *Stage) reach(view, region ident.Region, target string) (string, error) {
	if view == region || target == "" {
		return target, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.view == view && l.target == target {
			return l.proxy.Address(), nil
		}
	}
	proxy := fakes.NewLink(fakes.LinkConfig{Target: target, Forth: s.Path(view, region), Back: s.Path(region, view)})
	if err := proxy.Start(); err != nil {
		return "", fault.Wrap("link", KindStart, err)
	}
	s.links = append(s.links, link{view, target, proxy})
	return proxy.Address(), nil
}

// Cut cuts a region off from the others, silently and both ways. The platform
// lies in the first region.
func (s *Stage) Cut(r ident.Region) {
	for _, d := range s.directions {
		if d.from == r || d.to == r {
			d.path.Cut(true)
		}
	}
}

// CutPair cuts one direction between two regions.
func (s *Stage) CutPair(from, to ident.Region) {
	if p := s.Path(from, to); p != nil {
		p.Cut(true)
	}
}

// Heal ends all cuts. Connections that were open go on, as with TCP.
func (s *Stage) Heal() {
	for _, d := range s.directions {
		d.path.Cut(false)
	}
}

// Sent returns the bytes that one region has sent to another.
func (s *Stage) Sent(from, to ident.Region) ident.Bytes {
	if p := s.Path(from, to); p != nil {
		return p.Bytes()
	}
	return 0
}

// Delay returns the one-way latency between two regions after compression.
func (s *Stage) Delay() time.Duration { return s.cfg.duration(s.plan.delay) }
