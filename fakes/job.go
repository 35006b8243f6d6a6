package fakes

import (
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// job is one request at an engine. The fields before mu do not change after
// submit, apart from next, which belongs to the generating goroutine, and index
// and started, which the process guards.
type job struct {
	request   ident.Request
	urgency   int
	hash      uint64
	head      ident.Prefix
	text      string
	words     []string
	first     int // token number that the answer starts at
	next      int
	total     int
	row       int
	sequence  int
	index     int // in the queue; -1 if not waiting
	started   time.Time
	cancelled chan struct{}

	mu        sync.Mutex
	tokens    int // generated so far
	done      bool
	followers int
	left      time.Time // when the last follower left
	changed   chan struct{}
	stopOnce  sync.Once
}

func newJob(request ident.Request, urgency int, c *Completion, head ident.Prefix) *job {
	prompt, already := c.Prompt()
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Content + "\n")
	}
	return &job{
		request: request, urgency: urgency,
		hash: HashPrompt(prompt), head: head,
		text: text.String(), words: strings.Fields(text.String()),
		first: already, next: already, total: c.total(),
		index: -1, cancelled: make(chan struct{}), changed: make(chan struct{}),
	}
}

// advance makes one more token available to the followers.
func (j *job) advance() {
	j.next++
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tokens++
	j.signal()
}

func (j *job) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) end(complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done = complete
	j.signal()
}

func (j *job) stop() { j.stopOnce.Do(func() { close(j.cancelled) }) }

func (j *job) isCancelled() bool {
	select {
	case <-j.cancelled:
		return true
	default:
		return false
	}
}

// progress returns what is available and a channel that is closed at the next change.
func (j *job) progress() (tokens int, done bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens, j.done, j.changed
}

func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers++
}

// detach returns true if the job now has no follower and is still unfinished.
func (j *job) detach() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers--
	j.left = time.Now()
	return j.followers == 0 && !j.done
}

// idle reports whether the unfinished job has no follower.
func (j *job) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.followers == 0 && !j.done
}

// jobQueue is a heap of waiting jobs by urgency, then arrival.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(a, b int) bool {
	if q[a].urgency != q[b].urgency {
		return q[a].urgency < q[b].urgency
	}
	return q[a].sequence < q[b].sequence
}

func (q jobQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

// Push adds a job at the end, for package heap.
func (q *jobQueue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop removes the last job, for package heap.
func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	j.index = -1
	return j
}
