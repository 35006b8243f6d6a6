package fakes

import (
	"net/http"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// ProxyConfig constructs a Proxy.
type ProxyConfig struct {
	// Listen is the address for controls; the default is a loopback port picked
	// by the system.
	Listen string
	// Targets are the addresses to lead to, a link each.
	Targets []string
	// Forth and Back describe the paths that all links share.
	Forth, Back PathConfig
}

// Proxy is a set of links over one pair of paths with a control address, for
// use in a process of its own. It is safe for concurrent use.
type Proxy struct {
	host
	cfg         ProxyConfig
	forth, back *Path

	mu    sync.Mutex
	links []*Link
}

// ProxyLink describes one link of a Proxy.
type ProxyLink struct {
	Target  string      `json:"target"`
	Address string      `json:"address"`
	Bytes   ident.Bytes `json:"bytes"`
}

// ProxyAccount is the answer to GET /control of a Proxy.
type ProxyAccount struct {
	Forth ident.Bytes `json:"forth"`
	Back  ident.Bytes `json:"back"`
	Links []ProxyLink `json:"links"`
}

// ProxyControl is the body of POST /control of a Proxy. Absent fields change
// nothing.
type ProxyControl struct {
	// Delay is the one-way delay of both paths.
	Delay *clock.Span `json:"delay"`
	// Rate is the bandwidth of each path in bytes a second; 0 means unlimited.
	Rate *ident.Bytes `json:"rate"`
	// Forth and Back set whether a path is cut.
	Forth *bool `json:"forth"`
	Back  *bool `json:"back"`
	// Reset resets all connections.
	Reset bool `json:"reset"`
	// Target adds a link.
	Target string `json:"target"`
}

// NewProxy returns a Proxy that is not started.
func NewProxy(cfg ProxyConfig) *Proxy {
	return &Proxy{cfg: cfg, forth: NewPath(cfg.Forth), back: NewPath(cfg.Back)}
}

// Start listens for controls and starts a link for each target.
func (p *Proxy) Start() error {
	for _, t := range p.cfg.Targets {
		if _, err := p.Add(t); err != nil {
			return err
		}
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /control", p.control)
	routes.HandleFunc("GET /control", p.account)
	return p.open(p.cfg.Listen, routes)
}

// Add starts a link to one more target and returns its address.
func (p *Proxy) Add(target string) (string, error) {
	l := NewLink(LinkConfig{Target: target, Forth: p.forth, Back: p.back})
	if err := l.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
	return l.Address(), nil
}

// Close ends all links.
func (p *Proxy) Close() {
	p.shut()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Close()
	}
}

// Account returns the byte counts and the links.
func (p *Proxy) Account() ProxyAccount {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := ProxyAccount{Forth: p.forth.Bytes(), Back: p.back.Bytes()}
	for _, l := range p.links {
		a.Links = append(a.Links, ProxyLink{Target: l.cfg.Target, Address: l.Address(), Bytes: l.Bytes()})
	}
	return a
}

func (p *Proxy) account(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Account())
}

// control answers with the account, which names the address of a new link.
func (p *Proxy) control(w http.ResponseWriter, r *http.Request) {
	var c ProxyControl
	if !readControl(w, r, &c) {
		return
	}
	apply(c.Delay, func(s clock.Span) { p.both(func(h *Path) { h.SetDelay(s.Duration()) }) })
	apply(c.Rate, func(b ident.Bytes) { p.both(func(h *Path) { h.SetRate(b) }) })
	apply(c.Forth, p.forth.Cut)
	apply(c.Back, p.back.Cut)
	if c.Reset {
		p.reset()
	}
	if c.Target != "" {
		if _, err := p.Add(c.Target); err != nil {
			writeError(w, http.StatusInternalServerError, err.Error())
			return
		}
	}
	writeJSON(w, http.StatusOK, p.Account())
}

func (p *Proxy) both(do func(*Path)) {
	do(p.forth)
	do(p.back)
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Reset()
	}
}
