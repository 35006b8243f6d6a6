package gate

import (
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// headerCustomer names, in a request that is passed on, the customer on whose behalf it is. It is trusted only on the
// address for instances.
const headerCustomer = "Tanager-Customer"

// rejection is why a request is rejected because of its customer; empty if it is not.
type rejection string

// Rejections.
const (
	// rejectMissing and rejectUnknown: the request needs a key. Callers are not told which of the two it is.
	rejectMissing rejection = "no key"
	rejectUnknown rejection = "unknown key"
	// rejectUnproven: the instance can't prove that its configuration is recent enough for keys.
	rejectUnproven rejection = "keys can't be verified"
	// rejectCustomer: another instance has passed the request on for a customer that this one doesn't know.
	rejectCustomer rejection = "unknown customer"
	// rejectRegion: no region may serve this customer on this route.
	rejectRegion rejection = "no region allowed"
)

// identity is what decides for whom a request is.
type identity struct {
	table *bundle.Table
	route *bundle.Route
	// key is that of a caller, and name that of the customer in a request that another instance passes on.
	key    string
	hopped bool
	name   ident.Customer
	// proven reports whether keys may be used now.
	proven bool
}

// resolve returns the customer, or nil if there is none.
func (i identity) resolve() (*bundle.Customer, rejection) {
	switch {
	case !i.hopped:
		return i.resolveKey()
	case i.name != "":
		if c, ok := i.table.Customer(i.name); ok {
			return c, ""
		}
		return nil, rejectCustomer
	case i.table.HasCustomers() && !i.route.Public:
		return nil, rejectCustomer // the other instance has a configuration without customers, or is of an older build
	}
	return nil, ""
}

// resolveKey returns the customer with the caller's key. On a public route, a key that can't be used is no key.
func (i identity) resolveKey() (*bundle.Customer, rejection) {
	if !i.table.HasCustomers() {
		return nil, ""
	}
	if !i.proven {
		return nil, i.unlessPublic(rejectUnproven)
	}
	if i.key == "" {
		return nil, i.unlessPublic(rejectMissing)
	}
	if c, ok := i.table.CustomerByKey(i.key); ok {
		return c, ""
	}
	return nil, i.unlessPublic(rejectUnknown)
}

func (i identity) unlessPublic(why rejection) rejection {
	if i.route.Public {
		return ""
	}
	return why
}

// identify finds out for whom the request is, and applies that customer's regions and priority. If the request is
// rejected for that, it sends the response and returns false.
func (f *inflight) identify(proven bool) bool {
	customer, why := identity{
		table: f.table, route: f.route, key: f.meta.Key, hopped: f.hopped(), name: ident.Customer(f.request.Header.Get(headerCustomer)), proven: proven,
	}.resolve()
	f.meta.Key = "" // is not needed any more
	if f.table.HasCustomers() {
		f.server.protocol.StripCredentials(f.header)
	}
	if why == "" && customer != nil {
		why = f.serveFor(customer)
	}
	if why == "" {
		return true
	}
	f.rejectIdentity(why)
	return false
}

// serveFor makes the request one of a customer.
func (f *inflight) serveFor(customer *bundle.Customer) rejection {
	f.customer = customer
	own, ok := f.route.ForCustomer(customer)
	if !ok {
		return rejectRegion
	}
	f.setRoute(own)
	return ""
}

// setRoute sets the route, with the regions and the priority that apply to the request.
func (f *inflight) setRoute(route *bundle.Route) {
	f.route = route
	f.placement.Priority, f.placement.HomeRegions = route.Priority, route.HomeRegions
}

func (f *inflight) rejectIdentity(why rejection) {
	f.server.metrics.recordRejection(why)
	if f.hopped() {
		// The other instance is still writing the body, and would lose a response that comes before its end.
		_, _ = io.CopyN(io.Discard, f.request.Body, maxDiscardBytes)
	} else if f.request.ContentLength != 0 {
		f.writer.Header().Set("Connection", "close") // net/http would wait for a body before it responds
	}
	if why != rejectMissing && why != rejectUnknown {
		f.refuse(string(why), leaseRetryAfter)
		return
	}
	f.lastOutcome = string(why)
	f.server.setConnectionClose(f.writer.Header())
	writeError(f.writer, http.StatusUnauthorized, caller.RanNo, caller.ReasonKey, "a valid key is required", f.meta.AttemptID)
	f.finish("rejected", http.StatusUnauthorized)
}

// customerName is the customer of the request, or empty.
func (f *inflight) customerName() ident.Customer {
	if f.customer == nil {
		return ""
	}
	return f.customer.Name
}

// customerField is the customer of the request in the log, if it has one.
func (f *inflight) customerField() zap.Field {
	if f.customer == nil {
		return zap.Skip()
	}
	return zap.String("customer", string(f.customer.Name))
}
