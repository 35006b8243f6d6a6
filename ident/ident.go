// Package ident declares the named types for the ids and units that several
// packages share.
package ident

// Names and ids. Each is an opaque string that is compared byte by byte.
type (
	// Region names a region: places between which links are slow and may be cut.
	Region string
	// Zone names an availability zone within a region.
	Zone string
	// Entry names an entry instance.
	Entry string
	// Endpoint names a back end: a runner of a model engine or an instance of a plain service.
	Endpoint string
	// Service names a service of the bundle.
	Service string
	// Class names a class of urgency of the bundle.
	Class string
	// Home names where a request's data belongs; the bundle maps it to regions.
	Home string
	// Caller identifies the customer's client that sent a request, for fairness.
	Caller string
	// Request identifies one request of a caller; the endpoint repeats it in its answer.
	Request string
	// Key names a key, so that keys can be rotated.
	Key string
)

// Numbers.
type (
	// Incarnation tells apart the lives of the processes that run under one Entry name.
	Incarnation uint64
	// Version is the version of a bundle; a higher one replaces a lower one.
	Version uint64
	// Try counts the dispatches of one request, starting at 1.
	Try int
	// Fingerprint is a hash of a request's service and body.
	Fingerprint uint64
	// Prefix is a hash of the first part of a prompt.
	Prefix uint64
	// Tokens counts tokens of a model.
	Tokens int
	// Bytes counts bytes.
	Bytes int64
)
