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

// probeLimit bounds one request of the probes.
const probeLimit = 5 * time.Second

// probes sends orders that must not be placed: one without a ticket, and one
// whose ticket first reaches an entry that did not issue it. What the entries say
// of them is compared with the services' records at the end.
func (w *show) probes(ctx context.Context) error {
	r := w.stage.Regions()[0]
	e := w.stage.EntriesIn(r)
	w.probe(ctx, r, e[0].Address(), "probe-unticketed", "")
	ticket, err := w.ticket(ctx, e[0].Address())
	if err != nil {
		return err
	}
	w.probe(ctx, r, e[1].Address(), "probe-foreign", ticket)
	w.probe(ctx, r, e[0].Address(), "probe-foreign", ticket)
	return nil
}

// ticket asks an entry for a ticket for an order.
func (w *show) ticket(ctx context.Context, address string) (string, error) {
	q := url.Values{"service": {string(w.stage.PlainService())}, "call": {"POST /orders"}}
	var l caller.Location
	_, err := exchange(ctx, http.MethodGet, "http://"+address+caller.PathLocate+"?"+q.Encode(), "", http.Header{}, &l)
	return l.Ticket, err
}

// probe sends one order and enters what the entry says of it among the results.
func (w *show) probe(ctx context.Context, r ident.Region, address, number, ticket string) {
	i := w.traffic.results.open(result{work: order, region: r, number: number, attempts: 1, address: address})
	h := http.Header{}
	if ticket != "" {
		h.Set(caller.HeaderTicket, ticket)
	}
	to := "http://" + address + caller.PathCall + string(w.stage.PlainService()) + "/orders"
	var e caller.Envelope
	status, err := exchange(ctx, http.MethodPost, to, `{"order":"`+number+`"}`, h, &e)
	w.traffic.results.change(i, func(x *result) {
		x.ended, x.err = time.Now(), err
		switch {
		case err != nil || e.Error.Ran == caller.RanUnknown:
			x.end = unknown
		case e.Error.Ran == caller.RanNo:
			x.end, x.err = refused, error(&e.Error)
		case status == http.StatusOK:
			x.end = completed
		default:
			x.end = unknown
		}
	})
}

// exchange sends one request and decodes the JSON answer.
func exchange(ctx context.Context, method, to, body string, h http.Header, into any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
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
