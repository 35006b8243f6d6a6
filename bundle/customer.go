package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"math"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// KeyDigest is the SHA-256 digest of a customer's key. Keys are random, so that the digest doesn't reveal them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// bucket returns the start of the digest, by which it is indexed.
func (d KeyDigest) bucket() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Customer is on whose behalf callers send requests.
type Customer struct {
	Name ident.Customer
	// Keys are the digests of the keys, any of which identifies the customer.
	Keys []KeyDigest
	// Priority replaces that of the routes; nil keeps it.
	Priority *int
	// HomeRegions lists the regions that may serve the customer; empty means all.
	HomeRegions []ident.Region
	Limit       Limit
}

// Limit bounds what a customer may use over all instances together. The zero value is no limit.
type Limit struct {
	// Rate is the cost per second, and Burst the cost that may be used at once.
	Rate  float64
	Burst float64
	// Tokens reports whether the cost of a request is its tokens; otherwise each request costs 1.
	Tokens bool
	// PlainTokens is the cost of a request that states no number of tokens.
	PlainTokens ident.Tokens
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request with a prompt and at most so much output.
func (l Limit) Cost(prompt, output ident.Tokens) float64 {
	switch total := prompt + output; {
	case !l.Tokens:
		return 1
	case total > 0:
		return float64(total)
	}
	return float64(l.PlainTokens)
}

// LowestPriority is the largest priority value of a customer.
const LowestPriority = 9

// check returns an error of KindInvalid for the first invalid field.
func (c *Customer) check() error {
	path := "customer " + string(c.Name)
	switch {
	case c.Name == "":
		return invalid("customers", "a name is empty")
	case c.Priority != nil && (*c.Priority < 0 || *c.Priority > LowestPriority):
		return invalid(path, "priority must be from 0 to %d", LowestPriority)
	case !isAmount(c.Limit.Rate) || !isAmount(c.Limit.Burst) || c.Limit.PlainTokens < 0:
		return invalid(path, "a number of the limit is negative or not finite")
	}
	return nil
}

func isAmount(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// customerIndex finds customers by name and by key.
type customerIndex struct {
	byName map[ident.Customer]*Customer
	// byKey holds the keys by the start of their digests. Whole digests are compared in constant time; only the
	// start takes part in the lookup, and nobody can choose a key by the start of its digest bit by bit.
	byKey map[uint64][]keyOwner
}

type keyOwner struct {
	digest   KeyDigest
	customer *Customer
}

// indexCustomers checks the customers and builds their index. Errors have KindInvalid.
func indexCustomers(customers []Customer) (customerIndex, error) {
	index := customerIndex{make(map[ident.Customer]*Customer, len(customers)), make(map[uint64][]keyOwner, len(customers))}
	for i := range customers {
		c := &customers[i]
		if err := c.check(); err != nil {
			return index, err
		}
		if index.byName[c.Name] != nil {
			return index, invalid("customer "+string(c.Name), "the name is used twice")
		}
		index.byName[c.Name] = c
		for _, digest := range c.Keys {
			switch owner := index.owner(digest); {
			case owner == nil:
				index.byKey[digest.bucket()] = append(index.byKey[digest.bucket()], keyOwner{digest, c})
			case owner != c:
				return index, invalid("customer "+string(c.Name), "a key belongs to customer %.64q too", string(owner.Name))
			}
		}
	}
	return index, nil
}

// owner returns the customer with a key, or nil.
func (i *customerIndex) owner(digest KeyDigest) (owner *Customer) {
	for _, k := range i.byKey[digest.bucket()] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			owner = k.customer
		}
	}
	return owner
}

// HasCustomers reports whether requests need a key, except on public routes.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }

// CustomerByKey returns the customer with a key. The empty key belongs to none.
func (t *Table) CustomerByKey(key string) (*Customer, bool) {
	if key == "" || !t.HasCustomers() {
		return nil, false
	}
	customer := t.customers.owner(DigestKey(key))
	return customer, customer != nil
}

// Customer returns the customer with a name.
func (t *Table) Customer(name ident.Customer) (*Customer, bool) {
	customer, ok := t.customers.byName[name]
	return customer, ok
}

// SameCustomers reports whether another table has the same customers in the same order.
func (t *Table) SameCustomers(other *Table) bool {
	return slices.EqualFunc(t.Customers, other.Customers, func(a, b Customer) bool {
		samePriority := a.Priority == b.Priority || a.Priority != nil && b.Priority != nil && *a.Priority == *b.Priority
		return a.Name == b.Name && a.Limit == b.Limit && samePriority &&
			slices.Equal(a.Keys, b.Keys) && slices.Equal(a.HomeRegions, b.HomeRegions)
	})
}

// ForCustomer returns the route as it applies to a customer: only the regions that both allow may serve it, and the
// customer's priority replaces the route's. It returns false if no region is left.
func (r *Route) ForCustomer(c *Customer) (*Route, bool) {
	own := *r
	if c.Priority != nil {
		own.Priority = *c.Priority
	}
	switch {
	case len(r.HomeRegions) == 0:
		own.HomeRegions = c.HomeRegions
	case len(c.HomeRegions) > 0:
		own.HomeRegions = nil
		for _, region := range r.HomeRegions {
			if slices.Contains(c.HomeRegions, region) {
				own.HomeRegions = append(own.HomeRegions, region)
			}
		}
		if len(own.HomeRegions) == 0 {
			return nil, false
		}
	}
	return &own, true
}
