package gate

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

const (
	// maxValidity is how long callers may use a directory response, unless the settings specify a
	// shorter time.
	maxValidity = 1 * clock.Second
	// maxAddresses bounds the instances in one directory response.
	maxAddresses = 64
)

// serveReady reports whether the instance accepts requests.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.state.ready() || s.draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory returns the instances that a caller should use: those of its region, or else
// those of the regions that may serve most routes of the requested host.
func (s *Server) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := s.protocol.DirectoryQuery(r)
	addresses := s.callerAddresses(query)
	if len(addresses) == 0 {
		s.log.Info("no instance to name", zap.String("region", string(query.Region)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.log.Debug("directory query", zap.String("host", query.Host), zap.String("region", string(query.Region)), zap.Strings("named", addresses))
	validity := maxValidity
	if s.settings.Validity > 0 {
		validity = min(validity, s.settings.Validity)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.protocol.DirectoryResponse(addresses, validity)); err != nil {
		s.log.Debug("writing directory response failed", zap.Error(err))
	}
}

func (s *Server) callerAddresses(query DirectoryQuery) []string {
	alive := s.node.Alive()
	self := mesh.Record{Region: s.settings.Region, Front: s.settings.FrontAddress}
	if s.state.ready() && !s.draining() {
		alive = append(alive, self)
	}
	sameRegion := func(r mesh.Record) bool { return r.Region == query.Region }
	if addresses := frontAddresses(alive, sameRegion); len(addresses) > 0 {
		return limitAddresses(s.reachingAddresses(alive, sameRegion, addresses))
	}
	leaving := s.node.Leaving()
	fewest := s.minExcludedRoutes(query.Host, alive, leaving)
	fewestExcluded := func(r mesh.Record) bool { return s.excludedRoutes(query.Host, r) == fewest }
	if named := frontAddresses(alive, fewestExcluded); len(named) > 0 {
		return limitAddresses(named)
	}
	// A rolling restart replaces instances within seconds. Until then, callers must not be
	// directed to regions that may not process their data.
	if named := frontAddresses(leaving, func(r mesh.Record) bool { return sameRegion(r) || fewestExcluded(r) }); len(named) > 0 {
		return limitAddresses(named)
	}
	return limitAddresses(frontAddresses(alive, func(mesh.Record) bool { return true }))
}

// excludedRoutes returns the number of routes of a host that an instance's region may not serve.
func (s *Server) excludedRoutes(host string, record mesh.Record) int {
	if table := s.state.table.Load(); table != nil {
		return table.CountExcluded(host, record.Region)
	}
	return 0
}

// minExcludedRoutes returns the smallest number of excluded routes among the instances.
func (s *Server) minExcludedRoutes(host string, lists ...[]mesh.Record) int {
	fewest := math.MaxInt
	for _, list := range lists {
		for _, r := range list {
			fewest = min(fewest, s.excludedRoutes(host, r))
		}
	}
	return fewest
}

// frontAddresses returns the caller addresses of the instances for which fits returns true.
func frontAddresses(instances []mesh.Record, fits func(mesh.Record) bool) (addresses []string) {
	for _, r := range instances {
		if fits(r) {
			addresses = append(addresses, r.Front)
		}
	}
	return addresses
}

// limitAddresses returns at most maxAddresses of the addresses, chosen at random. Neighbours in the
// sorted list often share a zone and are lost together.
func limitAddresses(addresses []string) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:maxAddresses]
}
