package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/quota"
)

const (
	// quotaInterval is the interval between two checks whether a share request is due.
	quotaInterval = 50 * clock.Millisecond
	// quotaLogInterval is the minimum time between two log lines on customers over their limits.
	quotaLogInterval = 1 * clock.Second
	// busiestCustomers is the number of customers whose share is a metric.
	busiestCustomers = 8
)

// quotas holds the limits of customers. Its methods are safe for concurrent use.
type quotas struct {
	clock   clock.Clock
	log     *zap.Logger
	metrics *metrics
	// node is nil until the exchange with other instances has started.
	node atomic.Pointer[mesh.Node]

	mu   sync.Mutex
	book *quota.Book
	// allocator is the one that was logged last.
	allocator ident.Entry
	// loggedAt is when a rejection was last logged, 0 if never, and unlogged counts those since.
	loggedAt clock.Time
	unlogged int
}

func newQuotas(config Config, counters *metrics) *quotas {
	return &quotas{
		clock: config.Clock, log: config.Log, metrics: counters,
		book: quota.New(quota.Config{
			Self: config.Settings.Name, Process: quota.Process(rand.Uint64()), Started: config.Clock.Now(), FirstStart: config.Settings.FirstStart,
		}),
	}
}

// round sends a share request if one is due, and logs a change of the allocator.
func (q *quotas) round(node *mesh.Node) {
	members := node.QuotaMembers()
	q.mu.Lock()
	messages := q.book.Round(q.clock.Now(), members)
	before, allocator := q.allocator, q.book.Allocator()
	q.allocator = allocator
	q.mu.Unlock()
	if allocator != before {
		q.log.Info("allocator of shares changed", zap.String("to", string(allocator)), zap.String("from", string(before)),
			zap.Int("instances", members.Known), zap.Int("live", len(members.Live)), zap.Bool("settled", members.Settled))
	}
	node.SendQuota(messages)
}

// receive handles a message of another instance.
func (q *quotas) receive(from mesh.Record, message quota.Message) {
	node := q.node.Load()
	if node == nil {
		return // the other one asks again
	}
	q.mu.Lock()
	replies := q.book.Receive(q.clock.Now(), from.Name, message)
	q.mu.Unlock()
	node.SendQuota(replies)
}

// take charges a request. If the customer's limit does not allow it now, it returns false and when it will.
func (q *quotas) take(c ident.Customer, limit bundle.Limit, cost float64) (ok bool, after clock.Span) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if ok, after = q.book.Take(now, c, limit, cost); ok {
		q.metrics.quotaAdmitted.Inc(int64(cost))
		return true, 0
	}
	q.metrics.quotaRejected.Inc(int64(cost))
	if q.unlogged++; q.loggedAt > 0 && now.Sub(q.loggedAt) < quotaLogInterval {
		return false, after
	}
	usage, _ := q.book.Usage(now, c)
	q.log.Info("customer over its limit", zap.String("customer", string(c)), zap.Int("rejections", q.unlogged),
		zap.Float64("share", float64(usage.Share)), zap.Float64("level", usage.Level), zap.Float64("cost", cost), zap.Float64("demand", usage.Demand),
		zap.Bool("scarce", usage.Scarce), zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.Int64("grant_age", int64(usage.GrantAge)), zap.String("allocator", string(q.book.Allocator())), zap.Int64("after", int64(after)))
	q.loggedAt, q.unlogged = now, 0
	return false, after
}

// charge charges a send without rejecting it.
func (q *quotas) charge(c ident.Customer, limit bundle.Limit, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Charge(q.clock.Now(), c, limit, cost)
	q.metrics.quotaAdmitted.Inc(int64(cost))
}

// refund returns what was charged for sends that have not run.
func (q *quotas) refund(c ident.Customer, limit bundle.Limit, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Refund(q.clock.Now(), c, limit, cost)
	q.metrics.quotaRefunded.Inc(int64(cost))
}

// recordShares updates the metrics of the customers with the largest demand.
func (q *quotas) recordShares() {
	q.mu.Lock()
	busiest := q.book.Busiest(q.clock.Now(), busiestCustomers)
	q.mu.Unlock()
	q.metrics.recordShares(busiest)
}

// shareQuota takes part in the exchange of shares if there are customers.
func (s *Server) shareQuota(context.Context) {
	if table := s.state.table.Load(); table != nil && table.HasCustomers() {
		s.quotas.round(s.node)
	}
}

// quotaCharge is what a request is charged for.
type quotaCharge struct {
	customer ident.Customer
	limit    bundle.Limit
	cost     float64
	// sends counts the sends that are charged.
	sends int
}

// admitQuota charges a caller's request to its customer's limit. If that does not allow it, it sends the response and
// returns false. A request that another instance passes on is charged there.
func (f *inflight) admitQuota() bool {
	if f.hopped() || f.customer == nil || !f.customer.Limit.Limited() {
		return true
	}
	limit := f.customer.Limit
	charge := quotaCharge{customer: f.customer.Name, limit: limit, cost: limit.Cost(f.meta.PromptTokens, f.meta.MaxOutputTokens), sends: 1}
	ok, after := f.server.quotas.take(charge.customer, limit, charge.cost)
	if !ok {
		if f.request.ContentLength != 0 {
			f.writer.Header().Set("Connection", "close") // net/http would wait for a body before it responds
		}
		f.refuseWith(http.StatusTooManyRequests, caller.ReasonQuota, "quota", after)
		return false
	}
	f.quota = charge
	return true
}

// chargeSend charges a further send if the one before may have run.
func (f *inflight) chargeSend() {
	if f.quota.sends == 0 || f.quota.sends > f.runs {
		return
	}
	f.quota.sends++
	f.server.quotas.charge(f.quota.customer, f.quota.limit, f.quota.cost)
}

// refundQuota refunds the sends that have not run. No send may be in progress.
func (f *inflight) refundQuota() {
	unused := f.quota.sends - f.runs
	if unused <= 0 {
		return
	}
	f.quota.sends = f.runs
	f.server.quotas.refund(f.quota.customer, f.quota.limit, f.quota.cost*float64(unused))
}
