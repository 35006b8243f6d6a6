package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

// buildUse is how many listed endpoints of a service have a version of the software.
type buildUse struct {
	endpoints int
	// lastListed is when the last endpoint of the version was removed from the list.
	lastListed clock.Time
}

// countBuild records that an endpoint is added to the list (1) or removed from it (-1).
func (s *serviceState) countBuild(now clock.Time, build ident.Build, change int) {
	use := s.builds[build]
	if use == nil {
		use = &buildUse{}
		s.builds[build] = use
	}
	use.endpoints += change
	use.lastListed = now
}

// resetBuildHistory records that versions may have served up to now of which this instance does not know.
func (p *Pool) resetBuildHistory(now clock.Time) {
	p.buildsKnownFrom = max(p.buildsKnownFrom, now.Add(resume.Life))
}

// OnlyBuild returns the version that has begun every stream of a service that may still be resumed, of those that
// began before a time, or false if that can't be told: several versions are or were listed, the list is older than
// that time, or this instance has not followed the list without a gap for long enough. With time 0 the answer is as
// the list shows, which may lack a version that has just been listed.
func (p *Pool) OnlyBuild(now, before clock.Time, name ident.Service) (only ident.Build, known bool) {
	if p.lastListed == 0 || p.lastListed < before || now.Sub(p.lastListed) > minListOutage || now.Before(p.buildsKnownFrom) {
		return "", false
	}
	service := p.service(name)
	for build, use := range service.builds {
		switch {
		case use.endpoints == 0 && now.Sub(use.lastListed) > resume.Life:
			delete(service.builds, build)
		case known:
			return "", false
		default:
			only, known = build, true
		}
	}
	return only, known
}

// ServesBuild reports whether an endpoint that does not leave is of the version that a request needs, in one of the
// regions that in accepts.
func (p *Pool) ServesBuild(request Request, in func(ident.Region) bool) bool {
	return request.Build == "" || slices.ContainsFunc(p.service(request.Service).all, func(e *endpoint) bool {
		return request.takes(e) && !e.leaving() && in(e.Region)
	})
}
