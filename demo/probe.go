package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// probeTimeout bounds one request of a probe.
const probeTimeout = 5 * time.Second

// sendProbes sends orders that must not be placed: one without a ticket, and one whose
// ticket is presented to an entry that did not issue it before it is presented to the
// issuer. The entries' answers are compared with the services' records at the end.
func (w *demonstration) sendProbes(ctx context.Context) error {
	r := w.stage.Regions()[0]
	e := w.stage.EntriesIn(r)
	w.sendProbe(ctx, r, e[0].Address(), "probe-unticketed", "")
	ticket, err := w.requestTicket(ctx, e[0].Address())
	if err != nil {
		return err
	}
	w.sendProbe(ctx, r, e[1].Address(), "probe-foreign", ticket)
	w.sendProbe(ctx, r, e[0].Address(), "probe-foreign", ticket)
	return nil
}

// requestTicket requests a ticket for an order from an entry.
func (w *demonstration) requestTicket(ctx context.Context, address string) (string, error) {
	q := url.Values{"service": {string(w.stage.PlainService())}, "call": {"POST /orders"}}
	var l caller.Location
	_, err := exchangeJSON(ctx, http.MethodGet, "http://"+address+caller.PathLocate+"?"+q.Encode(), "", http.Header{}, &l)
	return l.Ticket, err
}

// sendProbe sends one order and adds the entry's answer to the results.
func (w *demonstration) sendProbe(ctx context.Context, r ident.Region, address, number, ticket string) {
	i := w.traffic.results.add(result{kind: order, region: r, key: number, attempts: 1, address: address})
	h := http.Header{}
	if ticket != "" {
		h.Set(caller.HeaderTicket, ticket)
	}
	to := "http://" + address + caller.PathCall + string(w.stage.PlainService()) + "/orders"
	var e caller.Envelope
	status, err := exchangeJSON(ctx, http.MethodPost, to, `{"order":"`+number+`"}`, h, &e)
	w.traffic.results.update(i, func(x *result) {
		x.endedAt, x.err = time.Now(), err
		switch {
		case err != nil || e.Error.Ran == caller.RanUnknown:
			x.state = unknown
		case e.Error.Ran == caller.RanNo:
			x.state, x.err = refused, error(&e.Error)
		case status == http.StatusOK:
			x.state = completed
		default:
			x.state = unknown
		}
	})
}

// exchangeJSON sends one request and decodes the JSON response.
func exchangeJSON(ctx context.Context, method, to, body string, h http.Header, into any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, to, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header = h
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(into)
}
