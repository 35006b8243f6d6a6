package fakes

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// PathConfig configures a Path.
type PathConfig struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Bandwidth is the bandwidth in bytes per second; 0 means unlimited.
	Bandwidth ident.Bytes
}

// Path simulates one direction of the network between two regions. All links that use it
// share its bandwidth. It is safe for concurrent use.
type Path struct {
	mu        sync.Mutex
	delay     time.Duration
	bandwidth ident.Bytes
	lineFree  time.Time // when the last byte accepted so far has been transmitted
	bytes     ident.Bytes
	cut       bool
	changed   chan struct{} // closed and replaced when cut changes
}

// NewPath returns a Path that is not cut.
func NewPath(cfg PathConfig) *Path {
	return &Path{delay: cfg.Delay, bandwidth: cfg.Bandwidth, changed: make(chan struct{})}
}

// SetDelay sets the one-way delay for bytes that are sent from now on.
func (p *Path) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetBandwidth sets the bandwidth in bytes per second; 0 means unlimited.
func (p *Path) SetBandwidth(bandwidth ident.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bandwidth = bandwidth
}

// SetCut sets whether the path is cut. While it is, nothing is delivered and neither side
// gets an error: connections stall and new ones hang. As with TCP retransmission,
// connections that still exist continue afterwards.
func (p *Path) SetCut(on bool) {
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

// reserve reserves bandwidth for n bytes. It returns the times at which the last of them
// arrives and at which it has been transmitted.
func (p *Path) reserve(n int) (arrival, free time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.lineFree.Before(now) {
		p.lineFree = now
	}
	if p.bandwidth > 0 {
		p.lineFree = p.lineFree.Add(time.Duration(float64(n) / float64(p.bandwidth) * float64(time.Second)))
	}
	p.bytes += ident.Bytes(n)
	return p.lineFree.Add(p.delay), p.lineFree
}

// waitWhileCut waits until the path is not cut and reports whether that took any time; ok is false if stop is closed
// first.
func (p *Path) waitWhileCut(stop <-chan struct{}) (waited, ok bool) {
	for {
		p.mu.Lock()
		cut, changed := p.cut, p.changed
		p.mu.Unlock()
		if !cut {
			return waited, true
		}
		waited = true
		select {
		case <-changed:
		case <-stop:
			return true, false
		}
	}
}

func (p *Path) oneWayDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// sleepUntil waits until t; it returns false if stop is closed first.
func sleepUntil(t time.Time, stop <-chan struct{}) bool {
	remaining := time.Until(t)
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
