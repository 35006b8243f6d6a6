package fakes

import (
	"container/heap"
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// process is the part of an engine that a crash loses: the requests and the cache.
type process struct {
	engine *Engine
	dead   chan struct{}
	gauge  *gauge
	models *modelSet

	mu       sync.Mutex
	killed   bool
	running  int
	sequence int
	waiting  jobQueue
	jobs     map[ident.Request]*job
	cache    *cache
	heads    []ident.Prefix // as last reported
	headsAt  time.Time
}

func newProcess(e *Engine, first bool) *process {
	return &process{
		engine: e,
		dead:   make(chan struct{}),
		gauge:  newGauge(e.cfg.Lag),
		models: newModelSet(e.cfg.Models, e.cfg.Region, first),
		jobs:   map[ident.Request]*job{},
		cache:  newCache(e.cfg.Memory, e.cfg.Block),
	}
}

// submit queues a job. It returns false if the engine has crashed.
func (p *process) submit(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return false
	}
	j.row = p.engine.log.add(j.request, j.hash, Waiting)
	j.sequence = p.sequence
	p.sequence++
	p.jobs[j.request] = j
	heap.Push(&p.waiting, j)
	p.dispatch()
	return true
}

// dispatch starts waiting jobs while slots are free. p.mu is held.
func (p *process) dispatch() {
	for p.running < p.engine.cfg.Slots && len(p.waiting) > 0 && !p.killed {
		j := heap.Pop(&p.waiting).(*job)
		p.running++
		j.started = time.Now()
		p.engine.log.start(j.row)
		go p.run(j, p.prefill(j))
	}
	p.gauge.set(p.running, len(p.waiting))
}

// prefill returns the time to process the part of the prompt that is not cached.
func (p *process) prefill(j *job) time.Duration {
	cached := p.cache.use(j.words, j.head)
	return time.Duration(len(j.words)-cached) * p.engine.cfg.Prefill
}

// run generates the tokens of a job on an absolute schedule: a timer that fires
// late does not delay the tokens after it.
func (p *process) run(j *job, prefill time.Duration) {
	due := j.started.Add(prefill)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	ok := p.wait(j, timer)
	if ok && p.poisoned(j) {
		go p.engine.crashFor(p.engine.cfg.Reboot)
		ok = p.wait(j, time.NewTimer(time.Hour))
	}
	for ok && j.next < j.total {
		due = due.Add(p.engine.gap())
		timer.Reset(time.Until(due))
		ok = p.wait(j, timer)
		if ok {
			p.engine.log.token(j.row, due.Sub(j.started))
			j.advance()
		}
	}
	p.finish(j, ok, due)
}

// wait returns true at the timer, or false if the job was cancelled or lost before.
func (p *process) wait(j *job, t *time.Timer) bool {
	select {
	case <-t.C:
		return true
	case <-j.cancelled:
		return false
	case <-p.dead:
		return false
	}
}

func (p *process) poisoned(j *job) bool {
	p.engine.state.Lock()
	defer p.engine.state.Unlock()
	return p.engine.marker != "" && strings.Contains(j.text, p.engine.marker)
}

func (p *process) finish(j *job, complete bool, due time.Time) {
	end := due
	if now := time.Now(); now.Before(end) {
		end = now
	}
	outcome := Complete
	switch {
	case complete:
	case j.isCancelled():
		outcome = Cancelled
	default:
		outcome = Lost
	}
	p.engine.log.end(j.row, outcome, end.Sub(j.started))
	j.end(complete)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.dispatch()
	p.forgetLater(j)
}

// drop cancels a job, waiting or running.
func (p *process) drop(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.stop()
	p.forget(j)
	if j.index < 0 {
		return // its goroutine ends it
	}
	heap.Remove(&p.waiting, j.index)
	p.engine.log.end(j.row, Cancelled, 0)
	p.gauge.set(p.running, len(p.waiting))
}

func (p *process) forget(j *job) {
	if p.jobs[j.request] == j {
		delete(p.jobs, j.request)
	}
}

func (p *process) forgetLater(j *job) {
	time.AfterFunc(p.engine.cfg.Keep.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.forget(j)
	})
}

func (p *process) find(r ident.Request) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[r]
}

// abandon drops the job after a while unless a connection has taken it up again.
func (p *process) abandon(j *job) {
	if !j.detach() {
		return
	}
	time.AfterFunc(p.engine.cfg.Keep.Duration(), func() {
		if j.idle() {
			p.drop(j)
		}
	})
}

// kill ends all jobs as lost.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return
	}
	p.killed = true
	close(p.dead)
	p.models.stop()
	for _, j := range p.waiting {
		j.index = -1
		p.engine.log.end(j.row, Lost, 0)
	}
	p.waiting = nil
}

// prefixes returns the cached heads as they were up to one lag ago.
func (p *process) prefixes() []ident.Prefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.headsAt.IsZero() || time.Since(p.headsAt) > p.engine.cfg.Lag.Duration() {
		p.heads, p.headsAt = p.cache.prefixes(), time.Now()
	}
	return p.heads
}
