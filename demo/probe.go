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
func (d *demonstration) sendProbes(ctx context.Context) error {
	region := d.deployment.Regions()[0]
	entries := d.deployment.EntriesIn(region)
	d.sendProbe(ctx, region, entries[0].Address(), "probe-unticketed", "")
	ticket, err := d.requestTicket(ctx, entries[0].Address())
	if err != nil {
		return err
	}
	d.sendProbe(ctx, region, entries[1].Address(), "probe-foreign", ticket)
	d.sendProbe(ctx, region, entries[0].Address(), "probe-foreign", ticket)
	return nil
}

// requestTicket requests a ticket for an order from an entry.
func (d *demonstration) requestTicket(ctx context.Context, address string) (string, error) {
	query := url.Values{"service": {string(d.deployment.PlainService())}, "call": {"POST /orders"}}
	var location caller.Location
	_, err := exchangeJSON(ctx, http.MethodGet, "http://"+address+caller.PathLocate+"?"+query.Encode(), "", http.Header{}, &location)
	return location.Ticket, err
}

// sendProbe sends one order and adds the entry's answer to the results.
func (d *demonstration) sendProbe(ctx context.Context, region ident.Region, address, number, ticket string) {
	index := d.traffic.results.add(result{kind: order, region: region, key: number, attempts: 1, address: address})
	header := http.Header{}
	if ticket != "" {
		header.Set(caller.HeaderTicket, ticket)
	}
	target := "http://" + address + caller.PathCall + string(d.deployment.PlainService()) + "/orders"
	var envelope caller.Envelope
	status, err := exchangeJSON(ctx, http.MethodPost, target, `{"order":"`+number+`"}`, header, &envelope)
	d.traffic.results.update(index, func(request *result) {
		request.endedAt, request.err = time.Now(), err
		switch {
		case err != nil || envelope.Error.Ran == caller.RanUnknown:
			request.state = unknown
		case envelope.Error.Ran == caller.RanNo:
			request.state, request.err = refused, error(&envelope.Error)
		case status == http.StatusOK:
			request.state = completed
		default:
			request.state = unknown
		}
	})
}

// exchangeJSON sends one request and decodes the JSON response.
func exchangeJSON(ctx context.Context, method, target, body string, header http.Header, into any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(into)
}
