// Package memory decides how much memory callers may make a process hold: heads, bodies, and answers that they do not
// read. A Budget has one account for each connection. If memory or connections are short, it evicts the accounts that
// progress most slowly for what they hold; requests that are being served are never evicted.
//
// It has no goroutine, socket or clock.
package memory

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Phase is what the connection of an account does.
type Phase string

// Phases.
const (
	// Idle: no request has begun.
	Idle Phase = "idle"
	// Head: a head arrives.
	Head Phase = "head"
	// Body: a body arrives, or what is left of it after a refusal.
	Body Phase = "body"
	// Running: the request is being served. The account is not evicted.
	Running Phase = "running"
	// Answer: the caller reads an answer that is held for it.
	Answer Phase = "answer"
)

// Cause is why an account is evicted.
type Cause string

// Causes.
const (
	// CauseMemory: others need the memory.
	CauseMemory Cause = "memory"
	// CauseConnections: others need the connection.
	CauseConnections Cause = "connections"
	// CauseSlow: it has moved fewer bytes than it must.
	CauseSlow Cause = "slow"
)

// Config holds the limits of a Budget.
type Config struct {
	// Bytes is the most memory that all accounts hold together, and Connections the most accounts; 0 is no limit.
	Bytes       int64
	Connections int
	// LeastBytes is what a body or an answer must move in each LeastSpan.
	LeastBytes int64
	LeastSpan  clock.Span
}

const (
	// rateSpan is the time over which the progress of an account is measured.
	rateSpan = 1 * clock.Second
	// graceSpan is how long an account is in a phase before it may be evicted: ordinary requests pass within it.
	graceSpan = 250 * clock.Millisecond
	// maxCompared bounds the accounts that are compared to find the slowest.
	maxCompared = 256
	// maxVisited bounds the accounts that are visited for that, also those that may not be evicted: all connections wait
	// meanwhile. When the memory is full, 2048 of 20,000 accounts hold a tenth of it on average.
	maxVisited = 2048
)
