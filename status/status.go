// Package status declares the protocol of the admin address, on which an entry reports its
// state to operators.
package status

import (
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Paths of the admin protocol.
const (
	// PathStatus returns a Status.
	PathStatus = "/v1/status"
	// PathReport returns a burn.Report.
	PathReport = "/v1/report"
	// PathDrain starts a graceful shutdown and returns a Drain immediately.
	PathDrain = "/v1/drain"
	// PathReady returns status 200 if the entry accepts requests, else 503.
	PathReady = "/v1/ready"
	// PathMetrics returns the metrics of the process.
	PathMetrics = "/v1/metrics"
)

// State is the state that an entry reports about itself.
type State string

// States of an entry.
const (
	// Starting means that the entry has no verified bundle yet.
	Starting State = "starting"
	// Ready means that the entry accepts requests.
	Ready State = "ready"
	// Draining means that the entry finishes the requests in progress and then exits.
	Draining State = "draining"
	// Unsynchronised means that the entry was paused or partitioned and accepts no requests
	// until it receives a message from a peer.
	Unsynchronised State = "unsynchronised"
)

// Status is the state of one entry and its view of the fleet.
type Status struct {
	Entry       ident.Entry       `json:"entry"`
	Region      ident.Region      `json:"region"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
	// Version is the active bundle version; 0 if there is none.
	Version ident.Version `json:"version"`
	// Digest is the SHA-256 of the signed document in hexadecimal.
	Digest string `json:"digest"`
	// Requests is the number of requests in progress, including queued ones.
	Requests  int        `json:"requests"`
	Members   []Member   `json:"members"`
	Endpoints []Endpoint `json:"endpoints"`
	Queues    []Queue    `json:"queues"`
	Counters  []Counter  `json:"counters"`
}

// Member is an entry as seen by the reporting entry.
type Member struct {
	Name        ident.Entry       `json:"name"`
	Region      ident.Region      `json:"region"`
	State       gossip.State      `json:"state"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Endpoint is an endpoint as seen by the reporting entry.
type Endpoint struct {
	Name    ident.Endpoint `json:"name"`
	Service ident.Service  `json:"service"`
	Region  ident.Region   `json:"region"`
	// State is ready, leaving, loading or down.
	State string `json:"state"`
	// Weight is 1 for a normal endpoint and lower for a slow one.
	Weight float64 `json:"weight"`
	// Load is the estimated number of requests that the endpoint is processing.
	Load float64 `json:"load"`
	// OwnAttempts is the number of them that the reporting entry sent.
	OwnAttempts int `json:"mine"`
}

// Queue is the queue of one service at the reporting entry.
type Queue struct {
	Service ident.Service `json:"service"`
	Waiting int           `json:"waiting"`
}

// Counter is one counter of the reporting entry.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Drain is the response to a drain request.
type Drain struct {
	Entry ident.Entry `json:"entry"`
	// Incarnation identifies the process, so that a replacement at the same address is
	// not mistaken for it.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Requests is the number of requests still in progress.
	Requests int `json:"requests"`
}
