package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// storeStep is how often a load takes what it has been sent.
const storeStep = 5 * time.Millisecond

// StoreConfig constructs a Store.
type StoreConfig struct {
	// Rate is the bandwidth in bytes a second that all loads share; 0 means unlimited.
	Rate ident.Bytes
}

// Store is a double of the weight store. Loads at the same time slow each other
// down. It is safe for concurrent use.
type Store struct {
	rate ident.Bytes

	mu     sync.Mutex
	active int
	rows   []storeRow
}

// storeRow counts the loads of one region.
type storeRow struct {
	region              ident.Region
	active, most, total int
}

// NewStore returns a Store without loads.
func NewStore(cfg StoreConfig) *Store { return &Store{rate: cfg.Rate} }

// Load reads size bytes for an engine of a region. It returns false if ctx ends first.
func (s *Store) Load(ctx context.Context, region ident.Region, size ident.Bytes) bool {
	s.shift(region, 1)
	defer s.shift(region, -1)
	ticker := time.NewTicker(storeStep)
	defer ticker.Stop()
	last := time.Now()
	for left := float64(size); left > 0 && s.rate > 0; {
		select {
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			left -= now.Sub(last).Seconds() * s.share()
			last = now
		}
	}
	return ctx.Err() == nil
}

// share returns the bytes a second that each load gets.
func (s *Store) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.rate) / float64(max(1, s.active))
}

func (s *Store) shift(region ident.Region, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += by
	r := s.row(region)
	r.active += by
	r.most = max(r.most, r.active)
	if by > 0 {
		r.total++
	}
}

// row returns the counts of a region; s.mu is held.
func (s *Store) row(region ident.Region) *storeRow {
	for i := range s.rows {
		if s.rows[i].region == region {
			return &s.rows[i]
		}
	}
	s.rows = append(s.rows, storeRow{region: region})
	return &s.rows[len(s.rows)-1]
}

// Most returns the largest number of loads of a region at the same time.
func (s *Store) Most(region ident.Region) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row(region).most
}

// Loads returns the number of loads of a region that have begun.
func (s *Store) Loads(region ident.Region) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row(region).total
}
