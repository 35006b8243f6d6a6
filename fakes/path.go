package fakes

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// PathConfig constructs a Path.
type PathConfig struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Rate is the bandwidth in bytes a second; 0 means unlimited.
	Rate ident.Bytes
}

// Path is one direction of the network between two regions. All links that use
// it share its bandwidth. It is safe for concurrent use.
type Path struct {
	mu      sync.Mutex
	delay   time.Duration
	rate    ident.Bytes
	free    time.Time // when the last byte accepted so far has been put on the line
	bytes   ident.Bytes
	cut     bool
	changed chan struct{} // closed and replaced when cut changes
}

// NewPath returns a Path that is not cut.
func NewPath(cfg PathConfig) *Path {
	return &Path{delay: cfg.Delay, rate: cfg.Rate, changed: make(chan struct{})}
}

// SetDelay changes the one-way delay for bytes sent from now on.
func (p *Path) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetRate changes the bandwidth; 0 means unlimited.
func (p *Path) SetRate(rate ident.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// Cut sets whether the path is cut. While it is, nothing arrives and neither
// side is told: connections stall, and new ones hang. As with TCP's own
// retransmission, connections that still exist go on after the cut.
func (p *Path) Cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == on {
		return
	}
	p.cut = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// Bytes returns the number of bytes accepted so far.
func (p *Path) Bytes() ident.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// reserve books n bytes on the line. It returns when the last of them arrives
// and when the sender may send more.
func (p *Path) reserve(n int) (arrival, free time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	if p.rate > 0 {
		p.free = p.free.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	}
	p.bytes += ident.Bytes(n)
	return p.free.Add(p.delay), p.free
}

// pass waits while the path is cut; it returns false if stop is closed first.
func (p *Path) pass(stop <-chan struct{}) bool {
	for {
		p.mu.Lock()
		cut, changed := p.cut, p.changed
		p.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

func (p *Path) latency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// sleep waits until t; it returns false if stop is closed first.
func sleep(t time.Time, stop <-chan struct{}) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
