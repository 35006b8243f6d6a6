package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State describes what is known about the execution of a call.
type State string

// States of an Outcome.
const (
	// Done means that the call was executed. With a nil error the response is complete.
	Done State = "done"
	// NotRun means that the call was not executed and will not be.
	NotRun State = "not run"
	// Unknown means that the call may have been executed, or may still be.
	Unknown State = "unknown"
)

// Outcome is the result of a call.
type Outcome struct {
	State State
	// Status, Header and Body are the service's response.
	Status int
	Header http.Header
	Body   []byte
	// Ticket is the last ticket used. Pass it to Resume to resolve an unknown outcome.
	Ticket   string
	Attempts ident.Attempt
	// Address is the entry to which the last attempt was sent.
	Address string
	// Request is the id of the last attempt.
	Request ident.Request
}

// Call sends a call to a plain service. Path starts with "/" and may have a
// query. The error is nil if and only if the service's response is complete,
// whatever its status; otherwise Outcome.State says whether the call was executed.
//
// A non-idempotent call gets a ticket, which every retry carries as well. It is
// replaced by a new one only after a response that rules out the execution of
// any attempt under the old one.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) (Outcome, error) {
	return c.call(ctx, "", method, path, body)
}

// Resume repeats an earlier call whose outcome is unknown under the ticket of
// that call. The other arguments must equal those of the earlier call.
func (c *Client) Resume(ctx context.Context, ticket, method, path string, body []byte) (Outcome, error) {
	if ticket == "" {
		return Outcome{State: Unknown}, fault.Newf("resume", KindInvalid, "ticket is empty")
	}
	return c.call(ctx, ticket, method, path, body)
}

func (c *Client) call(ctx context.Context, ticket, method, path string, body []byte) (Outcome, error) {
	pending := pendingCall{client: c, selector: entrySelector{client: c}, method: method, path: path, body: body, id: c.requestID()}
	pending.selector.call = pending.callName()
	pending.outcome.Ticket = ticket
	pending.mayHaveRun = ticket != ""
	if !strings.HasPrefix(path, "/") {
		return pending.finish(fault.Newf("call", KindInvalid, "path %q does not start with a slash", path))
	}
	return pending.run(ctx)
}

// pendingCall is one call in progress.
type pendingCall struct {
	client       *Client
	selector     entrySelector
	method, path string
	body         []byte
	id           string
	outcome      Outcome
	// mayHaveRun is set if an attempt under the current ticket, or without one, may
	// have been or may still be executed. A refusal of a later attempt does not
	// clear it, because a delayed copy of the earlier one may still arrive; only a
	// voided or expired ticket does.
	mayHaveRun bool
	// retriedAddress is the last entry that was retried after its connection broke.
	retriedAddress string
	// retryAfter is the delay requested by the last entry.
	retryAfter clock.Span
	// directed is set if the last entry named other entries or issued a new ticket,
	// so that the next attempt needs no back-off.
	directed bool
	// ticketErr is the error returned by Config.OnTicket.
	ticketErr error
}

func (p *pendingCall) run(ctx context.Context) (Outcome, error) {
	for {
		p.outcome.Attempts++
		p.retryAfter, p.directed = 0, false
		err := p.attempt(ctx)
		if err == nil || p.outcome.State == Done || !p.shouldRetry(ctx, err) {
			return p.finish(err)
		}
		if p.directed && p.retryAfter == 0 {
			continue
		}
		if stopped := p.client.pause(ctx, p.outcome.Attempts, p.retryAfter); stopped != nil {
			return p.finish(err)
		}
	}
}

// finish sets the state of a call that ended without a response.
func (p *pendingCall) finish(err error) (Outcome, error) {
	switch {
	case p.outcome.State == Done:
	case p.mayHaveRun:
		p.outcome.State = Unknown
		err = fault.Wrap("call", KindUnresolved, err)
	default:
		p.outcome.State = NotRun
	}
	return p.outcome, err
}

// shouldRetry reports whether another attempt may settle the call.
func (p *pendingCall) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || p.outcome.Attempts >= p.client.config.MaxAttempts {
		return false
	}
	if fault.KindOf[Kind](err) == KindInvalid {
		return false
	}
	refusal := asRefusal(err)
	return refusal == nil || !refusal.permanent()
}

// attempt obtains a ticket if one is needed, selects an entry and sends the call.
func (p *pendingCall) attempt(ctx context.Context) error {
	address, err := p.prepare(ctx)
	if err != nil {
		return err
	}
	if p.ticketErr != nil {
		return fault.Wrap("call", KindInvalid, p.ticketErr)
	}
	p.outcome.Address = address
	p.outcome.Request = ident.Request(p.id + "." + strconv.Itoa(int(p.outcome.Attempts)))
	err = p.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if refusal := asRefusal(err); refusal != nil {
		p.handleRefusal(ctx, address, refusal)
		return err
	}
	p.selector.markFailed(address, false)
	p.retrySameEntry(address, err)
	return err
}

// retrySameEntry directs the next attempt to the entry whose connection broke,
// once per entry: as the likely owner of the ticket it knows the outcome.
func (p *pendingCall) retrySameEntry(address string, err error) {
	if p.outcome.Ticket == "" || p.retriedAddress == address || fault.KindOf[Kind](err) == KindUnreachable {
		return
	}
	p.retriedAddress = address
	p.selector.redirects = []string{address}
}

// prepare returns the address of the entry to send to. Methods that HTTP defines
// as safe start without a ticket; an entry demands one with status 428 if the
// bundle declares the call non-idempotent.
func (p *pendingCall) prepare(ctx context.Context) (string, error) {
	safe := p.method == http.MethodGet || p.method == http.MethodHead
	if p.outcome.Ticket != "" || safe || p.mayHaveRun || len(p.selector.redirects) > 0 {
		return p.selector.next(ctx)
	}
	location, address, err := p.client.locate(ctx, p.callName())
	if err != nil {
		return "", err
	}
	if preferred := location.Entries[0].Address; location.Ticket == "" && preferred != address {
		// An entry outside the allowed regions issues no ticket.
		address = preferred
		if location, err = p.client.locateAt(ctx, address, p.callName()); err != nil {
			return "", err
		}
	}
	if location.Ticket == "" {
		return p.selector.next(ctx)
	}
	p.setTicket(location.Ticket)
	return address, nil
}

// callName returns the call in the form of a locate request, without the query.
func (p *pendingCall) callName() string {
	path, _, _ := strings.Cut(p.path, "?")
	return p.method + " " + path
}

// setTicket replaces the ticket and reports it to Config.OnTicket.
func (p *pendingCall) setTicket(ticket string) {
	p.outcome.Ticket = ticket
	p.mayHaveRun = false
	if ticket != "" {
		p.ticketErr = p.client.config.OnTicket(ticket)
	}
}

func (p *pendingCall) send(ctx context.Context, address string) error {
	ctx, extend, stop := p.client.withTimeouts(ctx)
	defer stop()
	current := attempt{
		address: address, method: p.method, path: PathCall + string(p.client.config.Service) + p.path, body: p.body,
		request: p.outcome.Request, attempt: p.outcome.Attempts, ticket: p.outcome.Ticket,
	}
	response, err := p.client.do(ctx, current)
	if err != nil {
		p.mayHaveRun = p.mayHaveRun || response.written
		return err
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is discarded
	extend()
	body, err := p.client.readBody(response, current.method)
	if fault.KindOf[Kind](err) == KindTooLarge {
		p.outcome.State, p.outcome.Status = Done, response.StatusCode // an entry's refusal is never that large
	}
	if err != nil {
		p.mayHaveRun = true
		return err
	}
	return p.handleResponse(response, body)
}

// handleResponse processes a complete response.
func (p *pendingCall) handleResponse(response reply, body []byte) error {
	refusal := parseRefusal(response, body)
	if refusal == nil {
		p.outcome.State = Done
		p.outcome.Status, p.outcome.Header, p.outcome.Body = response.StatusCode, response.Header, body
		return nil
	}
	p.retryAfter = retryAfter(response.Header)
	if refusal.Ran == RanYes && !p.responseAvailable(refusal) {
		p.outcome.State = Done
		return fault.Wrap("call", KindResponseUnavailable, error(refusal))
	}
	p.mayHaveRun = p.mayHaveRun || refusal.Ran != RanNo
	return fault.Wrap("call", KindRefused, error(refusal))
}

// responseAvailable reports whether the response to a call that was executed, or is
// in progress, can still be obtained: the owner of its ticket holds it, or the
// call is idempotent.
func (p *pendingCall) responseAvailable(refusal *Refusal) bool {
	switch refusal.Reason {
	case ReasonGone:
		return false
	case ReasonEndpoint:
		return p.outcome.Ticket == ""
	}
	return !refusal.permanent()
}

// handleRefusal selects the entry and the ticket of the next attempt.
func (p *pendingCall) handleRefusal(ctx context.Context, address string, refusal *Refusal) {
	p.selector.markFailed(address, true)
	if len(refusal.Entries) > 0 {
		p.selector.redirect(refusal.Entries)
		p.directed = true
	}
	if refusal.Ran != RanNo {
		return
	}
	switch refusal.Reason {
	case ReasonVoid, ReasonExpired:
		p.mayHaveRun = false
		p.renewTicket(ctx, address, refusal)
	case ReasonTicket:
		if !p.mayHaveRun {
			p.renewTicket(ctx, address, refusal)
		}
	}
}

// renewTicket adopts the new ticket of a refusal, or requests one from the entry.
// The ticket belongs to that entry, so the next attempt goes there.
func (p *pendingCall) renewTicket(ctx context.Context, address string, refusal *Refusal) {
	ticket := refusal.Ticket
	if ticket == "" {
		location, err := p.client.locateAt(ctx, address, p.callName())
		if err != nil {
			p.setTicket("")
			return
		}
		ticket = location.Ticket
	}
	p.setTicket(ticket)
	if ticket != "" {
		p.selector.redirects = []string{address}
		p.directed = true
	}
}
