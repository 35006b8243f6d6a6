// Package watch reads and watches what the platform publishes: the signed bundle
// and the list of instances.
package watch

import "github.com/tanagerbridge/tanagerbridge/ident"

// Role tells what an instance of the list is.
type Role string

// Roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// State tells whether an instance takes new work.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list of instances. Addresses are
// host:port with IP numbers.
type Instance struct {
	Name   string       `json:"name"`
	Role   Role         `json:"role"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	State  State        `json:"state"`
	// Address is where callers reach an entry, or entries an endpoint.
	Address string `json:"address"`
	// Peer is where other entries reach an entry; empty for endpoints.
	Peer string `json:"peer,omitempty"`
	// Service is what an endpoint serves; empty for entries.
	Service ident.Service `json:"service,omitempty"`
	// Slots is how many requests an endpoint runs at once; 0 for entries.
	Slots int `json:"slots,omitempty"`
}
