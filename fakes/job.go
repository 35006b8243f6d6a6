package fakes

import (
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// job is a request at an engine. The fields before mu are constant after submit, except
// nextToken, which is owned by the generating goroutine, and queueIndex and started, which
// are guarded by process.mu.
type job struct {
	request     ident.Request
	urgency     int
	promptHash  uint64
	prefix      ident.Prefix
	text        string
	words       []string
	firstToken  int // number of the first token of the answer
	nextToken   int
	totalTokens int
	record      int
	arrival     int
	queueIndex  int // index in the queue; -1 if not waiting
	started     time.Time
	cancelled   chan struct{}

	mu         sync.Mutex
	generated  int // number of tokens generated so far
	done       bool
	readers    int
	detachedAt time.Time // when the last reader detached
	changed    chan struct{}
	cancelOnce sync.Once
}

func newJob(request ident.Request, urgency int, c *CompletionRequest, head ident.Prefix) *job {
	prompt, already := c.SplitPrompt()
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Content + "\n")
	}
	return &job{
		request: request, urgency: urgency,
		promptHash: HashPrompt(prompt), prefix: head,
		text: text.String(), words: strings.Fields(text.String()),
		firstToken: already, nextToken: already, totalTokens: c.totalTokens(),
		queueIndex: -1, cancelled: make(chan struct{}), changed: make(chan struct{}),
	}
}

// addToken makes one more token available to the readers.
func (j *job) addToken() {
	j.nextToken++
	j.mu.Lock()
	defer j.mu.Unlock()
	j.generated++
	j.notify()
}

// notify wakes the readers; j.mu is held.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) finish(complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done = complete
	j.notify()
}

func (j *job) cancel() { j.cancelOnce.Do(func() { close(j.cancelled) }) }

func (j *job) isCancelled() bool {
	select {
	case <-j.cancelled:
		return true
	default:
		return false
	}
}

// progress returns the number of tokens generated, whether the job is complete, and a
// channel that is closed at the next change.
func (j *job) progress() (tokens int, done bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.generated, j.done, j.changed
}

func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
}

// detach removes a reader. It returns true if the job now has no reader and is incomplete.
func (j *job) detach() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	j.detachedAt = time.Now()
	return j.readers == 0 && !j.done
}

// unread reports whether the job has no reader and is incomplete.
func (j *job) unread() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && !j.done
}

// jobQueue is a heap of waiting jobs, ordered by urgency and then by arrival.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(a, b int) bool {
	if q[a].urgency != q[b].urgency {
		return q[a].urgency < q[b].urgency
	}
	return q[a].arrival < q[b].arrival
}

func (q jobQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].queueIndex, q[b].queueIndex = a, b
}

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) {
	j := x.(*job)
	j.queueIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	j.queueIndex = -1
	return j
}
