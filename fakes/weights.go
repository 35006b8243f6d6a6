package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// storeInterval is the interval at which the progress of a load is updated.
const storeInterval = 5 * time.Millisecond

// WeightStoreConfig configures a WeightStore.
type WeightStoreConfig struct {
	// Bandwidth is the bandwidth in bytes per second that all loads share; 0 means unlimited.
	Bandwidth ident.Bytes
}

// WeightStore is a double of the weight store. Concurrent loads share its bandwidth. It is safe
// for concurrent use.
type WeightStore struct {
	bandwidth ident.Bytes

	mu      sync.Mutex
	active  int
	regions []regionLoads
}

// regionLoads counts the loads of a region: those in progress, the largest number at the
// same time, and all that have started.
type regionLoads struct {
	region              ident.Region
	active, peak, total int
}

// NewWeightStore returns a WeightStore without loads.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	return &WeightStore{bandwidth: cfg.Bandwidth}
}

// Load returns after the time that transferring size bytes to an engine in the region takes.
// It returns false if ctx ends first.
func (s *WeightStore) Load(ctx context.Context, region ident.Region, size ident.Bytes) bool {
	s.adjust(region, 1)
	defer s.adjust(region, -1)
	ticker := time.NewTicker(storeInterval)
	defer ticker.Stop()
	last := time.Now()
	for remaining := float64(size); remaining > 0 && s.bandwidth > 0; {
		select {
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			remaining -= now.Sub(last).Seconds() * s.sharedRate()
			last = now
		}
	}
	return ctx.Err() == nil
}

// sharedRate returns the bandwidth of each load in bytes per second.
func (s *WeightStore) sharedRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.bandwidth) / float64(max(1, s.active))
}

func (s *WeightStore) adjust(region ident.Region, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += by
	r := s.loadsOf(region)
	r.active += by
	r.peak = max(r.peak, r.active)
	if by > 0 {
		r.total++
	}
}

// loadsOf returns the counts of a region; s.mu is held.
func (s *WeightStore) loadsOf(region ident.Region) *regionLoads {
	for i := range s.regions {
		if s.regions[i].region == region {
			return &s.regions[i]
		}
	}
	s.regions = append(s.regions, regionLoads{region: region})
	return &s.regions[len(s.regions)-1]
}

// PeakLoads returns the largest number of concurrent loads of a region so far.
func (s *WeightStore) PeakLoads(region ident.Region) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadsOf(region).peak
}

// TotalLoads returns the number of loads of a region that have started.
func (s *WeightStore) TotalLoads(region ident.Region) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadsOf(region).total
}
