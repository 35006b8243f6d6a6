package demo

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// work is a kind of request.
type work string

const (
	question work = "question"
	draft    work = "draft"
	order    work = "order"
	stock    work = "stock"
)

// end is how a request ended for its caller.
type end string

const (
	completed end = "completed"
	refused   end = "refused" // not run
	unknown   end = "unknown" // an order that may have been run
	failed    end = "failed"  // an idempotent request without a complete answer
	pending   end = "pending" // still in progress when the demonstration ended
)

// result is one request as its caller saw it.
type result struct {
	work   work
	region ident.Region
	home   ident.Home
	begun  time.Time
	ended  time.Time
	end    end
	err    error
	// prompt is the hash of a completion's prompt; number is an order's number or a lookup's query.
	prompt   uint64
	number   string
	attempts ident.Try
	restarts []time.Time
	address  string
	// wrong says that the answer was not the one that the request has.
	wrong bool
}

// allowed reports whether the request may be served in a region. A home has the
// name of its only region.
func (r *result) allowed(region ident.Region) bool {
	return r.home == "" || string(r.home) == string(region)
}

// results collects the requests of a demonstration.
type results struct {
	mu   sync.Mutex
	rows []result
}

func (r *results) open(x result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.begun, x.end = time.Now(), pending
	r.rows = append(r.rows, x)
	return len(r.rows) - 1
}

func (r *results) change(i int, change func(*result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.rows[i])
}

func (r *results) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.rows...)
}

// endOf classifies the error of an idempotent request.
func endOf(err error) end {
	if err == nil {
		return completed
	}
	if r := refusalOf(err); r != nil && r.Ran == caller.RanNo {
		return refused
	}
	return failed
}

// endOfCall classifies the outcome of an order.
func endOfCall(o *caller.Outcome, err error) end {
	switch {
	case err == nil && o.State == caller.Done:
		return completed
	case o.State == caller.NotRun:
		return refused
	default:
		return unknown
	}
}

// recordsOf returns the engines' records of each prompt of the results.
func recordsOf(records []fakes.Record) map[uint64][]fakes.Record {
	out := make(map[uint64][]fakes.Record, len(records))
	for _, r := range records {
		out[r.Prompt] = append(out[r.Prompt], r)
	}
	return out
}

// crashedBy counts the engines that crashed while they ran a prompt.
func crashedBy(records []fakes.Record, text string) int {
	hash := fakes.HashPrompt([]fakes.Message{{Role: "user", Content: text}})
	n := 0
	for _, r := range records {
		if r.Prompt == hash && r.Outcome == fakes.Lost {
			n++
		}
	}
	return n
}

// isKind reports whether an error of kind k is in err's chain.
func isKind[K ~string](err error, k K) bool { return fault.KindOf[K](err) == k }
