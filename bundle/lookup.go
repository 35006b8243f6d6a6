package bundle

import (
	"slices"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Service returns the named service.
func (d *Document) Service(name ident.Service) (*Service, bool) {
	position := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if position < 0 {
		return nil, false
	}
	return &d.Services[position], true
}

// Allowed returns the regions that may serve a request for a service: those of the service
// and, unless home is empty, of the home as well. It fails with KindUnknownHome if the home is not
// declared and with KindNoRegion if no region is left, so the result is never empty.
func (d *Document) Allowed(service *Service, home ident.Home) ([]ident.Region, error) {
	if home == "" {
		return slices.Clone(service.Regions), nil
	}
	position := slices.IndexFunc(d.Homes, func(h Home) bool { return h.Name == home })
	if position < 0 {
		return nil, fault.Newf("allowed", KindUnknownHome, "home %.64q is not declared", home)
	}
	var allowed []ident.Region
	for _, r := range service.Regions {
		if slices.Contains(d.Homes[position].Regions, r) {
			allowed = append(allowed, r)
		}
	}
	if len(allowed) == 0 {
		return nil, fault.Newf("allowed", KindNoRegion, "service %q has no region of home %q", service.Name, home)
	}
	return allowed, nil
}

// ClassFor returns the class for an answer limit in tokens: the one with the smallest
// sufficient limit, or else the unbounded one. A limit of 0 or less stands for a request
// without one. The result is nil only for a document that fails Check.
func (d *Document) ClassFor(answer ident.Tokens) *Class {
	var best *Class
	for i := range d.Classes {
		class := &d.Classes[i]
		if class.MaxTokens != 0 && (answer <= 0 || answer > class.MaxTokens) {
			continue
		}
		if best == nil || best.MaxTokens == 0 || class.MaxTokens != 0 && class.MaxTokens < best.MaxTokens {
			best = class
		}
	}
	return best
}

// Call returns the call for a method and a decoded path: one with exactly that path, or else
// the one with the longest prefix. Paths with empty, "." or ".." segments match none.
func (s *Service) Call(method, path string) (*Call, bool) {
	if !isCleanPath(path) {
		return nil, false
	}
	var best *Call
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Method != method || !call.matches(path) {
			continue
		}
		if call.Path == path {
			return call, true
		}
		if best == nil || len(call.Path) > len(best.Path) {
			best = call
		}
	}
	return best, best != nil
}

func (c *Call) matches(path string) bool {
	return path == c.Path || strings.HasSuffix(c.Path, "/") && strings.HasPrefix(path, c.Path)
}
