package fakes

import (
	"container/heap"
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// process is the state of an engine that is lost in a crash: requests, cache and models.
type process struct {
	engine *Engine
	done   chan struct{}
	gauge  *laggingGauge
	models *modelSet

	mu               sync.Mutex
	killed           bool
	running          int
	arrivals         int
	waiting          jobQueue
	jobs             map[ident.Request]*job
	cache            *prefixCache
	reportedPrefixes []ident.Prefix // prefixes of the last load report
	reportedAt       time.Time
}

func newProcess(e *Engine, firstStart bool) *process {
	return &process{
		engine: e,
		done:   make(chan struct{}),
		gauge:  newLaggingGauge(e.cfg.ReportLag),
		models: newModelSet(e.cfg.Models, e.cfg.Region, firstStart),
		jobs:   map[ident.Request]*job{},
		cache:  newPrefixCache(e.cfg.CacheBlocks, e.cfg.BlockTokens),
	}
}

// submit queues a job. It returns false if the process was killed.
func (p *process) submit(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return false
	}
	j.record = p.engine.requestLog.add(j.request, j.promptHash, Waiting)
	j.arrival = p.arrivals
	p.arrivals++
	p.jobs[j.request] = j
	heap.Push(&p.waiting, j)
	p.dispatch()
	return true
}

// dispatch starts waiting jobs while slots are free; p.mu is held.
func (p *process) dispatch() {
	for p.running < p.engine.cfg.Slots && len(p.waiting) > 0 && !p.killed {
		j := heap.Pop(&p.waiting).(*job)
		p.running++
		j.started = time.Now()
		p.engine.requestLog.start(j.record)
		go p.run(j, p.prefillTime(j))
	}
	p.gauge.set(p.running, len(p.waiting))
}

// prefillTime returns the time to process the uncached part of the prompt, and caches the
// prompt; p.mu is held.
func (p *process) prefillTime(j *job) time.Duration {
	cached := p.cache.matchAndInsert(j.words, j.prefix)
	return time.Duration(len(j.words)-cached) * p.engine.cfg.PrefillPerToken
}

// run generates the tokens of a job on an absolute schedule, so that a timer that fires
// late does not delay the following tokens.
func (p *process) run(j *job, prefill time.Duration) {
	due := j.started.Add(prefill)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	ok := p.waitUnlessEnded(j, timer)
	if ok && p.hasCrashMarker(j) {
		go p.engine.crashAndRestart(p.engine.cfg.RestartDelay)
		ok = p.waitUnlessEnded(j, time.NewTimer(time.Hour))
	}
	for ok && j.nextToken < j.totalTokens {
		due = due.Add(p.engine.tokenInterval())
		timer.Reset(time.Until(due))
		ok = p.waitUnlessEnded(j, timer)
		if ok {
			p.engine.requestLog.addToken(j.record, due.Sub(j.started))
			j.addToken()
		}
	}
	p.finish(j, ok, due)
}

// waitUnlessEnded waits for the timer; it returns false if the job is cancelled or the
// process is killed first.
func (p *process) waitUnlessEnded(j *job, t *time.Timer) bool {
	select {
	case <-t.C:
		return true
	case <-j.cancelled:
		return false
	case <-p.done:
		return false
	}
}

// hasCrashMarker reports whether the job's prompt makes the engine crash.
func (p *process) hasCrashMarker(j *job) bool {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	return p.engine.crashMarker != "" && strings.Contains(j.text, p.engine.crashMarker)
}

// finish records the outcome of a job, frees its slot and starts the next one. Slot time
// counts until due, the scheduled end, or until now if that is earlier.
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
	p.engine.requestLog.end(j.record, outcome, end.Sub(j.started))
	j.finish(complete)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.dispatch()
	p.removeLater(j)
}

// cancel cancels a waiting or running job.
func (p *process) cancel(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.cancel()
	p.remove(j)
	if j.queueIndex < 0 {
		return // not waiting: run records the outcome
	}
	heap.Remove(&p.waiting, j.queueIndex)
	p.engine.requestLog.end(j.record, Cancelled, 0)
	p.gauge.set(p.running, len(p.waiting))
}

// remove makes a job unknown to find; p.mu is held.
func (p *process) remove(j *job) {
	if p.jobs[j.request] == j {
		delete(p.jobs, j.request)
	}
}

// removeLater removes a finished job after EngineConfig.StreamRetention; until then, its stream can
// be resumed.
func (p *process) removeLater(j *job) {
	time.AfterFunc(p.engine.cfg.StreamRetention.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.remove(j)
	})
}

func (p *process) find(r ident.Request) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[r]
}

// release detaches a connection from a job. Without another connection within
// EngineConfig.StreamRetention, the job is cancelled.
func (p *process) release(j *job) {
	if !j.detach() {
		return
	}
	time.AfterFunc(p.engine.cfg.StreamRetention.Duration(), func() {
		if j.unread() {
			p.cancel(j)
		}
	})
}

// kill ends all jobs with the outcome Lost.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return
	}
	p.killed = true
	close(p.done)
	p.models.cancel()
	for _, j := range p.waiting {
		j.queueIndex = -1
		p.engine.requestLog.end(j.record, Lost, 0)
	}
	p.waiting = nil
}

// prefixes returns the prefixes of the last prompts, refreshed at most once per lag.
func (p *process) prefixes() []ident.Prefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reportedAt.IsZero() || time.Since(p.reportedAt) > p.engine.cfg.ReportLag.Duration() {
		p.reportedPrefixes, p.reportedAt = p.cache.prefixes(), time.Now()
	}
	return p.reportedPrefixes
}
