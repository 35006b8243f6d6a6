// Package watch reads the signed bundle and the list of instances from the platform.
package watch

import "github.com/tanagerbridge/tanagerbridge/ident"

// Role is the kind of an instance.
type Role string

// Roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// State is the lifecycle state of an instance.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list of instances. Addresses have the form
// IP:port.
type Instance struct {
	Name   string       `json:"name"`
	Role   Role         `json:"role"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	State  State        `json:"state"`
	// Address serves callers on an entry, and entries on an endpoint.
	Address string `json:"address"`
	// Peer is the address for other entries; empty for endpoints.
	Peer string `json:"peer,omitempty"`
	// Service is the service of an endpoint; empty for entries.
	Service ident.Service `json:"service,omitempty"`
	// Slots is the number of requests that an endpoint runs at once; 0 for entries.
	Slots int `json:"slots,omitempty"`
}
