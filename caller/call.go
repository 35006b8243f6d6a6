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
	Attempts ident.Try
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
		return Outcome{State: Unknown}, fault.Newf("resume", Invalid, "ticket is empty")
	}
	return c.call(ctx, ticket, method, path, body)
}

func (c *Client) call(ctx context.Context, ticket, method, path string, body []byte) (Outcome, error) {
	o := pendingCall{c: c, selector: entrySelector{c: c}, method: method, path: path, body: body, id: c.requestID()}
	o.selector.call = o.callName()
	o.outcome.Ticket = ticket
	o.mayHaveRun = ticket != ""
	if !strings.HasPrefix(path, "/") {
		return o.finish(fault.Newf("call", Invalid, "path %q does not start with a slash", path))
	}
	return o.run(ctx)
}

// pendingCall is one call in progress.
type pendingCall struct {
	c            *Client
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
	// ticketErr is the error returned by Config.Ticketed.
	ticketErr error
}

func (o *pendingCall) run(ctx context.Context) (Outcome, error) {
	for {
		o.outcome.Attempts++
		o.retryAfter, o.directed = 0, false
		err := o.attempt(ctx)
		if err == nil || o.outcome.State == Done || !o.shouldRetry(ctx, err) {
			return o.finish(err)
		}
		if o.directed && o.retryAfter == 0 {
			continue
		}
		if stopped := o.c.pause(ctx, o.outcome.Attempts, o.retryAfter); stopped != nil {
			return o.finish(err)
		}
	}
}

// finish sets the state of a call that ended without a response.
func (o *pendingCall) finish(err error) (Outcome, error) {
	switch {
	case o.outcome.State == Done:
	case o.mayHaveRun:
		o.outcome.State = Unknown
		err = fault.Wrap("call", Unresolved, err)
	default:
		o.outcome.State = NotRun
	}
	return o.outcome, err
}

// shouldRetry reports whether another attempt may settle the call.
func (o *pendingCall) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || o.outcome.Attempts >= o.c.config.Attempts {
		return false
	}
	if fault.KindOf[Kind](err) == Invalid {
		return false
	}
	r := asRefusal(err)
	return r == nil || !r.permanent()
}

// attempt obtains a ticket if one is needed, selects an entry and sends the call.
func (o *pendingCall) attempt(ctx context.Context) error {
	address, err := o.prepare(ctx)
	if err != nil {
		return err
	}
	if o.ticketErr != nil {
		return fault.Wrap("call", Invalid, o.ticketErr)
	}
	o.outcome.Address = address
	o.outcome.Request = ident.Request(o.id + "." + strconv.Itoa(int(o.outcome.Attempts)))
	err = o.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if r := asRefusal(err); r != nil {
		o.handleRefusal(ctx, address, r)
		return err
	}
	o.selector.markFailed(address, false)
	o.retrySameEntry(address, err)
	return err
}

// retrySameEntry directs the next attempt to the entry whose connection broke,
// once per entry: as the likely owner of the ticket it knows the outcome.
func (o *pendingCall) retrySameEntry(address string, err error) {
	if o.outcome.Ticket == "" || o.retriedAddress == address || fault.KindOf[Kind](err) == Unreachable {
		return
	}
	o.retriedAddress = address
	o.selector.redirects = []string{address}
}

// prepare returns the address of the entry to send to. Methods that HTTP defines
// as safe start without a ticket; an entry demands one with status 428 if the
// bundle declares the call non-idempotent.
func (o *pendingCall) prepare(ctx context.Context) (string, error) {
	safe := o.method == http.MethodGet || o.method == http.MethodHead
	if o.outcome.Ticket != "" || safe || o.mayHaveRun || len(o.selector.redirects) > 0 {
		return o.selector.next(ctx)
	}
	l, address, err := o.c.locate(ctx, o.callName())
	if err != nil {
		return "", err
	}
	if preferred := l.Entries[0].Address; l.Ticket == "" && preferred != address {
		// An entry outside the allowed regions issues no ticket.
		address = preferred
		if l, err = o.c.locateAt(ctx, address, o.callName()); err != nil {
			return "", err
		}
	}
	if l.Ticket == "" {
		return o.selector.next(ctx)
	}
	o.setTicket(l.Ticket)
	return address, nil
}

// callName returns the call in the form of a locate request, without the query.
func (o *pendingCall) callName() string {
	path, _, _ := strings.Cut(o.path, "?")
	return o.method + " " + path
}

// setTicket replaces the ticket and reports it to Config.Ticketed.
func (o *pendingCall) setTicket(ticket string) {
	o.outcome.Ticket = ticket
	o.mayHaveRun = false
	if ticket != "" {
		o.ticketErr = o.c.config.Ticketed(ticket)
	}
}

func (o *pendingCall) send(ctx context.Context, address string) error {
	ctx, extend, stop := o.c.withTimeouts(ctx)
	defer stop()
	s := attempt{
		address: address, method: o.method, path: PathCall + string(o.c.config.Service) + o.path, body: o.body,
		request: o.outcome.Request, try: o.outcome.Attempts, ticket: o.outcome.Ticket,
	}
	r, err := o.c.do(ctx, s)
	if err != nil {
		o.mayHaveRun = o.mayHaveRun || r.written
		return err
	}
	defer r.Body.Close() //nolint:errcheck // the body was read or is discarded
	extend()
	body, err := o.c.readBody(r, s.method)
	if fault.KindOf[Kind](err) == Large {
		o.outcome.State, o.outcome.Status = Done, r.StatusCode // an entry's refusal is never that large
	}
	if err != nil {
		o.mayHaveRun = true
		return err
	}
	return o.handleAnswer(r, body)
}

// handleAnswer processes a complete response.
func (o *pendingCall) handleAnswer(r reply, body []byte) error {
	refusal := parseRefusal(r, body)
	if refusal == nil {
		o.outcome.State = Done
		o.outcome.Status, o.outcome.Header, o.outcome.Body = r.StatusCode, r.Header, body
		return nil
	}
	o.retryAfter = retryAfter(r.Header)
	if refusal.Ran == RanYes && !o.answerAvailable(refusal) {
		o.outcome.State = Done
		return fault.Wrap("call", Gone, error(refusal))
	}
	o.mayHaveRun = o.mayHaveRun || refusal.Ran != RanNo
	return fault.Wrap("call", Refused, error(refusal))
}

// answerAvailable reports whether the response to a call that was executed, or is
// in progress, can still be obtained: the owner of its ticket holds it, or the
// call is idempotent.
func (o *pendingCall) answerAvailable(r *Refusal) bool {
	switch r.Kind {
	case ReasonGone:
		return false
	case ReasonEndpoint:
		return o.outcome.Ticket == ""
	}
	return !r.permanent()
}

// handleRefusal selects the entry and the ticket of the next attempt.
func (o *pendingCall) handleRefusal(ctx context.Context, address string, r *Refusal) {
	o.selector.markFailed(address, true)
	if len(r.Entries) > 0 {
		o.selector.redirect(r.Entries)
		o.directed = true
	}
	if r.Ran != RanNo {
		return
	}
	switch r.Kind {
	case ReasonVoid, ReasonExpired:
		o.mayHaveRun = false
		o.renewTicket(ctx, address, r)
	case ReasonTicket:
		if !o.mayHaveRun {
			o.renewTicket(ctx, address, r)
		}
	}
}

// renewTicket adopts the new ticket of a refusal, or requests one from the entry.
// The ticket belongs to that entry, so the next attempt goes there.
func (o *pendingCall) renewTicket(ctx context.Context, address string, r *Refusal) {
	ticket := r.Ticket
	if ticket == "" {
		l, err := o.c.locateAt(ctx, address, o.callName())
		if err != nil {
			o.setTicket("")
			return
		}
		ticket = l.Ticket
	}
	o.setTicket(ticket)
	if ticket != "" {
		o.selector.redirects = []string{address}
		o.directed = true
	}
}
