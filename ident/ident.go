// Package ident declares the named types of identifiers and quantities that are
// shared between packages.
package ident

// Identifiers. Each is an opaque string that is compared byte by byte.
type (
	// Region names a region. Links between regions are slow and may fail.
	Region string
	// Zone names an availability zone within a region.
	Zone string
	// Entry names an entry instance.
	Entry string
	// Endpoint names a backend: an instance of a model engine or of a plain service.
	Endpoint string
	// Service names a service declared in the bundle.
	Service string
	// Class names a request class declared in the bundle, which sets the urgency.
	Class string
	// Home names the home that a request's data belongs to; the bundle maps it to regions.
	Home string
	// Customer names the customer on whose behalf a caller sends a request.
	Customer string
	// Caller identifies the customer's client that sent a request, for fair queueing.
	Caller string
	// Request identifies one request of a caller; the endpoint repeats it in its response.
	Request string
	// Build names a version of the endpoints' software; versions have no order.
	Build string
	// Key identifies a cryptographic key, which allows key rotation.
	Key string
)

// Quantities and versions.
type (
	// Incarnation distinguishes successive processes with the same Entry name.
	Incarnation uint64
	// Version is the version of a bundle; a higher version replaces a lower one.
	Version uint64
	// Attempt is the attempt number of a request, starting at 1.
	Attempt int
	// Fingerprint is a hash of a request's destination and body; it is equal for all sends of the
	// request.
	Fingerprint uint64
	// Prefix is a hash of the beginning of a prompt.
	Prefix uint64
	// Part identifies a section of a prompt that several requests may share.
	Part uint64
	// Crash identifies one crash: a hash of the endpoint and its incarnation.
	Crash uint64
	// Tokens is a number of model tokens.
	Tokens int
	// Bytes is a size in bytes.
	Bytes int64
)
