package fakes

import (
	"net/http"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// ProxyConfig configures a Proxy.
type ProxyConfig struct {
	// Listen is the address for control requests; the default is a loopback port chosen by
	// the system.
	Listen string
	// Targets are the addresses to forward to; each gets a link.
	Targets []string
	// Forward and Reverse describe the paths that all links share.
	Forward, Reverse PathConfig
}

// Proxy is a set of links that share a pair of paths, with an HTTP control address for
// use in a separate process. It is safe for concurrent use.
type Proxy struct {
	httpServer
	cfg              ProxyConfig
	forward, reverse *Path

	mu    sync.Mutex
	links []*Link
}

// ProxyLink describes one link of a Proxy.
type ProxyLink struct {
	Target  string      `json:"target"`
	Address string      `json:"address"`
	Bytes   ident.Bytes `json:"bytes"`
}

// ProxyStats is the response to GET /control of a Proxy.
type ProxyStats struct {
	ForwardBytes ident.Bytes `json:"forth"`
	ReverseBytes ident.Bytes `json:"back"`
	Links        []ProxyLink `json:"links"`
}

// ProxyControl is the body of POST /control of a Proxy. Absent fields change
// nothing.
type ProxyControl struct {
	// Delay is the one-way delay of both paths.
	Delay *clock.Span `json:"delay"`
	// Bandwidth is the bandwidth of each path in bytes per second; 0 means unlimited.
	Bandwidth *ident.Bytes `json:"rate"`
	// CutForward and CutReverse set whether a path is cut.
	CutForward *bool `json:"forth"`
	CutReverse *bool `json:"back"`
	// Reset resets all connections with a TCP reset.
	Reset bool `json:"reset"`
	// Target adds a link to this address.
	Target string `json:"target"`
}

// NewProxy returns a Proxy that is not started.
func NewProxy(cfg ProxyConfig) *Proxy {
	return &Proxy{cfg: cfg, forward: NewPath(cfg.Forward), reverse: NewPath(cfg.Reverse)}
}

// Start starts a link for each target and listens for control requests. It returns a
// KindListen error if an address can't be listened on.
func (p *Proxy) Start() error {
	for _, t := range p.cfg.Targets {
		if _, err := p.AddLink(t); err != nil {
			return err
		}
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /control", p.control)
	routes.HandleFunc("GET /control", p.stats)
	return p.open(p.cfg.Listen, routes)
}

// AddLink starts a link to another target and returns the link's address. It returns a
// KindListen error if the link can't listen.
func (p *Proxy) AddLink(target string) (string, error) {
	l := NewLink(LinkConfig{Target: target, Forward: p.forward, Reverse: p.reverse})
	if err := l.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
	return l.Address(), nil
}

// Close closes the control address and all links.
func (p *Proxy) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Close()
	}
}

// Stats returns the byte counts and the links.
func (p *Proxy) Stats() ProxyStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := ProxyStats{ForwardBytes: p.forward.Bytes(), ReverseBytes: p.reverse.Bytes()}
	for _, l := range p.links {
		a.Links = append(a.Links, ProxyLink{Target: l.cfg.Target, Address: l.Address(), Bytes: l.Bytes()})
	}
	return a
}

func (p *Proxy) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Stats())
}

// control applies a ProxyControl. The response is the account, which includes the address
// of a new link.
func (p *Proxy) control(w http.ResponseWriter, r *http.Request) {
	var c ProxyControl
	if !decodeControl(w, r, &c) {
		return
	}
	applyIfSet(c.Delay, func(s clock.Span) { p.forBothPaths(func(h *Path) { h.SetDelay(s.Duration()) }) })
	applyIfSet(c.Bandwidth, func(b ident.Bytes) { p.forBothPaths(func(h *Path) { h.SetBandwidth(b) }) })
	applyIfSet(c.CutForward, p.forward.SetCut)
	applyIfSet(c.CutReverse, p.reverse.SetCut)
	if c.Reset {
		p.resetLinks()
	}
	if c.Target != "" {
		if _, err := p.AddLink(c.Target); err != nil {
			writeError(w, http.StatusInternalServerError, err.Error())
			return
		}
	}
	writeJSON(w, http.StatusOK, p.Stats())
}

func (p *Proxy) forBothPaths(do func(*Path)) {
	do(p.forward)
	do(p.reverse)
}

func (p *Proxy) resetLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Reset()
	}
}
