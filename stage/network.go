package stage

import (
	"time"

	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// regionPair is an ordered pair of regions.
type regionPair struct{ from, to ident.Region }

// direction is the network from one region to another.
type direction struct {
	regionPair
	path *fakes.Path
}

// link is the proxy over which clients in the region view reach a target in another one.
type link struct {
	view   ident.Region
	target string
	proxy  *fakes.Link
}

// regionPairs returns all ordered pairs of different regions.
func (s *Deployment) regionPairs() []regionPair {
	var out []regionPair
	for _, a := range s.spec.regions {
		for _, b := range s.spec.regions {
			if a != b {
				out = append(out, regionPair{a, b})
			}
		}
	}
	return out
}

// bandwidth returns the bandwidth of a direction in bytes per second. It is multiplied by
// Speedup, so that transfer times shrink in the same proportion as the other times.
func (s *Deployment) bandwidth() ident.Bytes {
	return ident.Bytes(float64(s.spec.bandwidth) * s.cfg.Speedup)
}

func (s *Deployment) buildPaths() {
	for _, p := range s.regionPairs() {
		path := fakes.NewPath(fakes.PathConfig{Delay: s.cfg.compress(s.spec.delay), Bandwidth: s.bandwidth()})
		s.directions = append(s.directions, direction{p, path})
	}
}

// Path returns the network path from one region to another, or nil if the regions are
// unknown or the same.
func (s *Deployment) Path(from, to ident.Region) *fakes.Path {
	for _, d := range s.directions {
		if d.from == from && d.to == to {
			return d.path
		}
	}
	return nil
}

// addressFrom returns the address at which clients in the region view reach a target in
// region: the target's own address within a region, otherwise that of a link, which is
// started if necessary.
func (s *Deployment) addressFrom(view, region ident.Region, target string) (string, error) {
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
	proxy := fakes.NewLink(fakes.LinkConfig{Target: target, Forward: s.Path(view, region), Reverse: s.Path(region, view)})
	if err := proxy.Start(); err != nil {
		return "", fault.Wrap("link", KindStart, err)
	}
	s.links = append(s.links, link{view, target, proxy})
	return proxy.Address(), nil
}

// Partition partitions a region from the others in both directions; connections stall without
// an error. The platform is in the first region.
func (s *Deployment) Partition(r ident.Region) {
	for _, d := range s.directions {
		if d.from == r || d.to == r {
			d.path.SetCut(true)
		}
	}
}

// CutDirection cuts the network from one region to another; the opposite direction still works.
func (s *Deployment) CutDirection(from, to ident.Region) {
	if p := s.Path(from, to); p != nil {
		p.SetCut(true)
	}
}

// Heal ends all cuts. Connections that were open continue, as with TCP retransmission.
func (s *Deployment) Heal() {
	for _, d := range s.directions {
		d.path.SetCut(false)
	}
}

// BytesSent returns the number of bytes that one region has sent to another.
func (s *Deployment) BytesSent(from, to ident.Region) ident.Bytes {
	if p := s.Path(from, to); p != nil {
		return p.Bytes()
	}
	return 0
}

// Delay returns the one-way delay between two regions, divided by Speedup.
func (s *Deployment) Delay() time.Duration { return s.cfg.compress(s.spec.delay) }
