package demo

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// requestKind selects the endpoint and the size of a request.
type requestKind string

const (
	question requestKind = "question"
	draft    requestKind = "draft"
	order    requestKind = "order"
	stock    requestKind = "stock"
)

// outcomeState is the final state of a request as its caller saw it.
type outcomeState string

const (
	completed outcomeState = "completed"
	refused   outcomeState = "refused" // not run
	unknown   outcomeState = "unknown" // an order that may have been run
	failed    outcomeState = "failed"  // an idempotent request without a complete answer
	pending   outcomeState = "pending" // still in progress when the demonstration ended
)

// result is the result of one request as its caller saw it.
type result struct {
	kind      requestKind
	region    ident.Region
	home      ident.Home
	startedAt time.Time
	endedAt   time.Time
	state     outcomeState
	err       error
	// promptHash identifies a completion; key is an order's number or a lookup's query.
	promptHash uint64
	key        string
	attempts   ident.Attempt
	restarts   []time.Time
	address    string
	// wrongAnswer reports that the answer differs from the expected one.
	wrongAnswer bool
}

// allowedIn reports whether the request may be served in a region. Each home has one
// region and the region's name.
func (r *result) allowedIn(region ident.Region) bool {
	return r.home == "" || string(r.home) == string(region)
}

// resultLog collects the results of a demonstration. It is safe for concurrent use.
type resultLog struct {
	mu   sync.Mutex
	rows []result
}

func (r *resultLog) add(request result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.startedAt, request.state = time.Now(), pending
	r.rows = append(r.rows, request)
	return len(r.rows) - 1
}

func (r *resultLog) update(index int, change func(*result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.rows[index])
}

func (r *resultLog) snapshot() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.rows...)
}

// stateOf classifies the error of an idempotent request.
func stateOf(err error) outcomeState {
	if err == nil {
		return completed
	}
	if refusal := refusalOf(err); refusal != nil && refusal.Ran == caller.RanNo {
		return refused
	}
	return failed
}

// orderState classifies the outcome of an order.
func orderState(outcome *caller.Outcome, err error) outcomeState {
	switch {
	case err == nil && outcome.State == caller.Done:
		return completed
	case outcome.State == caller.NotRun:
		return refused
	default:
		return unknown
	}
}

// recordsByPrompt groups the engines' records by prompt hash.
func recordsByPrompt(records []fakes.Record) map[uint64][]fakes.Record {
	out := make(map[uint64][]fakes.Record, len(records))
	for _, r := range records {
		out[r.PromptHash] = append(out[r.PromptHash], r)
	}
	return out
}

// crashedBy counts the crashes of engines while they ran a prompt.
func crashedBy(records []fakes.Record, text string) int {
	hash := fakes.HashPrompt([]fakes.Message{{Role: "user", Content: text}})
	crashes := 0
	for _, r := range records {
		if r.PromptHash == hash && r.Outcome == fakes.Lost {
			crashes++
		}
	}
	return crashes
}

// isKind reports whether an error of the given kind is in err's chain.
func isKind[K ~string](err error, kind K) bool { return fault.KindOf[K](err) == kind }
