// Package status declares the answers that an entry gives to operators about
// itself.
package status

import (
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Paths of the operators' protocol, on the admin address.
const (
	// PathStatus answers with a Status.
	PathStatus = "/v1/status"
	// PathReport answers with a burn.Report.
	PathReport = "/v1/report"
	// PathDrain starts a graceful shutdown and answers at once with a Drain.
	PathDrain = "/v1/drain"
	// PathReady answers 200 if the entry accepts work, else 503.
	PathReady = "/v1/ready"
	// PathMetrics answers with the metrics of the process.
	PathMetrics = "/v1/metrics"
)

// State is the state of an entry as it sees itself.
type State string

// States of an entry.
const (
	// Starting: no verified bundle yet.
	Starting State = "starting"
	// Ready: accepts work.
	Ready State = "ready"
	// Draining: finishes what is in progress and then leaves.
	Draining State = "draining"
	// Unsynchronised: was paused or cut off, and accepts no work until it has heard from a peer.
	Unsynchronised State = "unsynchronised"
)

// Status is what one entry knows.
type Status struct {
	Entry       ident.Entry       `json:"entry"`
	Region      ident.Region      `json:"region"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
	// Version is the bundle version in force; 0 if there is none.
	Version ident.Version `json:"version"`
	// Digest is the hexadecimal SHA-256 of the signed document.
	Digest string `json:"digest"`
	// Requests is the number of requests in progress, waiting ones included.
	Requests  int        `json:"requests"`
	Members   []Member   `json:"members"`
	Endpoints []Endpoint `json:"endpoints"`
	Queues    []Queue    `json:"queues"`
	Counters  []Counter  `json:"counters"`
}

// Member is one entry as the answering entry sees it.
type Member struct {
	Name        ident.Entry       `json:"name"`
	Region      ident.Region      `json:"region"`
	State       news.State        `json:"state"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Endpoint is one endpoint as the answering entry sees it.
type Endpoint struct {
	Name    ident.Endpoint `json:"name"`
	Service ident.Service  `json:"service"`
	Region  ident.Region   `json:"region"`
	// State is ready, leaving, loading or down.
	State string `json:"state"`
	// Weight is 1 for a normal endpoint and smaller for a slow one.
	Weight float64 `json:"weight"`
	// Load is the estimated number of requests that the endpoint runs.
	Load float64 `json:"load"`
	// Mine is how many of these come from the answering entry.
	Mine int `json:"mine"`
}

// Queue is the queue of one service at the answering entry.
type Queue struct {
	Service ident.Service `json:"service"`
	Waiting int           `json:"waiting"`
}

// Counter is one counter of the answering entry.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Drain is the answer to a request to drain.
type Drain struct {
	Entry ident.Entry `json:"entry"`
	// Incarnation identifies the process, so that a replacement under the same
	// address isn't mistaken for it.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Requests is the number of requests still in progress.
	Requests int `json:"requests"`
}
