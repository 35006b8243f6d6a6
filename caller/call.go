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

// State tells what is known about the execution of a call.
type State string

// States of an Outcome.
const (
	// Done: the call was run. With a nil error the answer is complete.
	Done State = "done"
	// NotRun: the call was not run and will not be.
	NotRun State = "not run"
	// Unknown: the call may have been run, or may still be.
	Unknown State = "unknown"
)

// Outcome is the result of a call.
type Outcome struct {
	State State
	// Status, Header and Body are the service's answer.
	Status int
	Header http.Header
	Body   []byte
	// Ticket is the last ticket used. With it, Resume can ask for an unknown outcome again.
	Ticket   string
	Attempts ident.Try
	// Address is the entry that gave the last answer.
	Address string
	// Request is the id of the last send.
	Request ident.Request
}

// Call runs a call of a plain service. Path starts with "/" and may have a
// query. The error is nil if and only if the service's answer is complete, with
// whatever status it has; otherwise Outcome.State tells whether the call was run.
//
// A non-idempotent call gets a ticket, which every later send carries as well.
// It is replaced by a fresh one only after an answer that rules out that any
// send under the old one is run.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) (Outcome, error) {
	return c.call(ctx, "", method, path, body)
}

// Resume is Call with the ticket of an earlier call whose outcome is unknown.
// The arguments have to be the same as then.
func (c *Client) Resume(ctx context.Context, ticket, method, path string, body []byte) (Outcome, error) {
	if ticket == "" {
		return Outcome{State: Unknown}, fault.Newf("resume", Invalid, "no ticket")
	}
	return c.call(ctx, ticket, method, path, body)
}

func (c *Client) call(ctx context.Context, ticket, method, path string, body []byte) (Outcome, error) {
	o := order{c: c, trip: trip{c: c}, method: method, path: path, body: body, id: c.requestID()}
	o.trip.call = o.name()
	o.out.Ticket = ticket
	o.doubt = ticket != ""
	if !strings.HasPrefix(path, "/") {
		return o.end(fault.Newf("call", Invalid, "path %q doesn't start with a slash", path))
	}
	return o.run(ctx)
}

// order is one call in progress.
type order struct {
	c            *Client
	trip         trip
	method, path string
	body         []byte
	id           string
	out          Outcome
	// doubt says that a send under the current ticket, or without one, may have
	// been or may still be run. A refusal of a later send doesn't end the doubt,
	// because a delayed copy of the earlier one may still arrive; only a voided or
	// expired ticket does.
	doubt bool
	// asked is the last entry that was asked again after its connection broke.
	asked string
	// after is the pause that the last entry asked for.
	after clock.Span
	// pointed says that the last entry told where to go or gave a fresh ticket, so
	// that no pause is needed.
	pointed bool
	// unkept is the error of Config.Ticketed.
	unkept error
}

func (o *order) run(ctx context.Context) (Outcome, error) {
	for {
		o.out.Attempts++
		o.after, o.pointed = 0, false
		err := o.once(ctx)
		if err == nil || o.out.State == Done || !o.again(ctx, err) {
			return o.end(err)
		}
		if o.pointed && o.after == 0 {
			continue
		}
		if stopped := o.c.pause(ctx, o.out.Attempts, o.after); stopped != nil {
			return o.end(err)
		}
	}
}

// end sets the state of a call without an answer.
func (o *order) end(err error) (Outcome, error) {
	switch {
	case o.out.State == Done:
	case o.doubt:
		o.out.State = Unknown
		err = fault.Wrap("call", Unresolved, err)
	default:
		o.out.State = NotRun
	}
	return o.out, err
}

// again reports whether another send may settle the call.
func (o *order) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || o.out.Attempts >= o.c.config.Attempts {
		return false
	}
	if fault.KindOf[Kind](err) == Invalid {
		return false
	}
	r := refusal(err)
	return r == nil || !r.final()
}

// once gets a ticket if one is needed, chooses an entry and sends the call.
func (o *order) once(ctx context.Context) error {
	address, err := o.prepare(ctx)
	if err != nil {
		return err
	}
	if o.unkept != nil {
		return fault.Wrap("call", Invalid, o.unkept)
	}
	o.out.Address = address
	o.out.Request = ident.Request(o.id + "." + strconv.Itoa(int(o.out.Attempts)))
	err = o.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if r := refusal(err); r != nil {
		o.refused(ctx, address, r)
		return err
	}
	o.trip.leave(address, false)
	o.askAgain(address, err)
	return err
}

// askAgain makes the next send go to the entry whose connection broke, once: as
// the likely owner of the ticket it knows the outcome best.
func (o *order) askAgain(address string, err error) {
	if o.out.Ticket == "" || o.asked == address || fault.KindOf[Kind](err) == Unreachable {
		return
	}
	o.asked = address
	o.trip.queue = []string{address}
}

// prepare returns the entry to send to. Methods that are safe by the definition
// of HTTP start without a ticket; an entry asks for one with 428 if the bundle
// says otherwise.
func (o *order) prepare(ctx context.Context) (string, error) {
	safe := o.method == http.MethodGet || o.method == http.MethodHead
	if o.out.Ticket != "" || safe || o.doubt || len(o.trip.queue) > 0 {
		return o.trip.next(ctx)
	}
	l, address, err := o.c.locate(ctx, o.name())
	if err != nil {
		return "", err
	}
	if preferred := l.Entries[0].Address; l.Ticket == "" && preferred != address {
		// An entry outside the allowed regions gives no ticket.
		address = preferred
		if l, err = o.c.ask(ctx, address, o.name()); err != nil {
			return "", err
		}
	}
	if l.Ticket == "" {
		return o.trip.next(ctx)
	}
	o.take(l.Ticket)
	return address, nil
}

// name is the call as locate knows it, without the query.
func (o *order) name() string {
	path, _, _ := strings.Cut(o.path, "?")
	return o.method + " " + path
}

// take replaces the ticket.
func (o *order) take(ticket string) {
	o.out.Ticket = ticket
	o.doubt = false
	if ticket != "" {
		o.unkept = o.c.config.Ticketed(ticket)
	}
}

func (o *order) send(ctx context.Context, address string) error {
	ctx, alive, stop := o.c.guard(ctx)
	defer stop()
	s := send{
		address: address, method: o.method, path: PathCall + string(o.c.config.Service) + o.path, body: o.body,
		request: o.out.Request, try: o.out.Attempts, ticket: o.out.Ticket,
	}
	r, err := o.c.do(ctx, s)
	if err != nil {
		o.doubt = o.doubt || r.written
		return err
	}
	defer r.Body.Close() //nolint:errcheck // the answer was read or is of no use
	alive()
	body, err := o.c.whole(r, s.method)
	if fault.KindOf[Kind](err) == Large {
		o.out.State, o.out.Status = Done, r.StatusCode // no refusal is that large
	}
	if err != nil {
		o.doubt = true
		return err
	}
	return o.answered(r, body)
}

// answered takes in a complete answer.
func (o *order) answered(r reply, body []byte) error {
	refusal := refused(r, body)
	if refusal == nil {
		o.out.State = Done
		o.out.Status, o.out.Header, o.out.Body = r.StatusCode, r.Header, body
		return nil
	}
	o.after = retryAfter(r.Header)
	if refusal.Ran == RanYes && !o.open(refusal) {
		o.out.State = Done
		return fault.Wrap("call", Gone, error(refusal))
	}
	o.doubt = o.doubt || refusal.Ran != RanNo
	return fault.Wrap("call", Refused, error(refusal))
}

// open reports whether a call that was run, or is running, may still get its
// answer: the owner of its ticket has it, or the call is idempotent.
func (o *order) open(r *Refusal) bool {
	switch r.Kind {
	case ReasonGone:
		return false
	case ReasonEndpoint:
		return o.out.Ticket == ""
	}
	return !r.final()
}

// refused decides where the next send goes and under which ticket.
func (o *order) refused(ctx context.Context, address string, r *Refusal) {
	o.trip.leave(address, true)
	if len(r.Entries) > 0 {
		o.trip.redirect(r.Entries)
		o.pointed = true
	}
	if r.Ran != RanNo {
		return
	}
	switch r.Kind {
	case ReasonVoid, ReasonExpired:
		o.doubt = false
		o.renew(ctx, address, r)
	case ReasonTicket:
		if !o.doubt {
			o.renew(ctx, address, r)
		}
	}
}

// renew takes the fresh ticket of a refusal, or asks the entry for one. The
// ticket belongs to that entry, so the next send goes there.
func (o *order) renew(ctx context.Context, address string, r *Refusal) {
	ticket := r.Ticket
	if ticket == "" {
		l, err := o.c.ask(ctx, address, o.name())
		if err != nil {
			o.take("")
			return
		}
		ticket = l.Ticket
	}
	o.take(ticket)
	if ticket != "" {
		o.trip.queue = []string{address}
		o.pointed = true
	}
}
