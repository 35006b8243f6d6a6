package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Config configures a Book.
type Config struct {
	Self ident.Entry
	// Process identifies this process among those of the instance, such as by a random number.
	Process Process
	// Started is when the process started.
	Started clock.Time
	// FirstStart reports that no earlier process of the instance can have used or delegated a share.
	FirstStart bool
}

// account is what a Book keeps of a customer.
type account struct {
	name   ident.Customer
	bucket bucket
	demand demand
	used   clock.Time
}

// Book decides which requests of customers are within their limits. It is not safe for concurrent use.
type Book struct {
	config    Config
	members   Members
	told      int
	toldAt    clock.Time
	base      Share
	borrower  borrower
	allocator allocator
	accounts  map[Hash]*account
	nextRound clock.Time
	// lowest and lowestBefore are the smallest shares of a customer without an account in the current period and the
	// one before. A period takes at least idleTime, the current one began at period, and noted is its latest time.
	lowest, lowestBefore Share
	period, noted        clock.Time
}

// New returns a Book that admits nothing before its first round.
func New(config Config) *Book {
	return &Book{
		config: config, borrower: newBorrower(), allocator: newAllocator(), accounts: make(map[Hash]*account),
		period: config.Started, noted: config.Started,
	}
}

// instances returns the number of instances that share the limits.
func (b *Book) instances(now clock.Time) int {
	known := max(1, b.members.Known)
	if b.toldAt > 0 && now.Sub(b.toldAt) < toldTime {
		return max(known, b.told)
	}
	return known
}

// noteKnown records how many instances another one remembers.
func (b *Book) noteKnown(now clock.Time, known int) {
	if known = min(known, maxInstances); known >= b.told || now.Sub(b.toldAt) >= toldTime {
		b.told, b.toldAt = known, now
	}
}

// inheritedUntil returns the time until which a share may be in use that an earlier process of this instance has
// delegated.
func (b *Book) inheritedUntil(now clock.Time) clock.Time {
	if b.config.FirstStart {
		return b.config.Started
	}
	return b.config.Started.Add(withMargin(delegationTerm(b.instances(now))))
}

// ownShare returns the share that this instance uses without a grant.
func (b *Book) ownShare(at clock.Time) Share {
	if at.Before(b.inheritedUntil(at)) {
		return b.base * minimumShare
	}
	return max(0, b.base-b.borrower.delegated.at(at))
}

// shareAt returns the share of a customer's limit that is in use.
func (b *Book) shareAt(at clock.Time, customer Hash) granted {
	total := b.borrower.share(at, customer)
	total.share += b.ownShare(at)
	return total
}

// ShareOf returns the share of a customer's limit that this instance uses.
func (b *Book) ShareOf(now clock.Time, c ident.Customer) Share {
	return b.shareAt(now, HashOf(c)).share
}

// advance refills a bucket up to now, in steps at whose ends the share changes.
func (b *Book) advance(now clock.Time, customer Hash, filled *bucket) granted {
	current := b.shareAt(filled.updated, customer)
	for filled.updated.Before(now) {
		next := b.nextChange(filled.updated, now)
		following := b.shareAt(next, customer)
		filled.fill(next, current.share, following.share)
		current = following
	}
	return current
}

// nextChange returns the first time after at at which a term ends, but at most now.
func (b *Book) nextChange(at, now clock.Time) clock.Time {
	next := b.borrower.nextChange(at, now)
	if until := b.inheritedUntil(at); until.After(at) {
		next = min(next, until)
	}
	return next
}

// advanceAll refills all buckets before shares change.
func (b *Book) advanceAll(now clock.Time) {
	b.noteIdleShare(now)
	for h, a := range b.accounts {
		b.advance(now, h, &a.bucket)
	}
}

// noteShares applies a change of shares to the buckets.
func (b *Book) noteShares(now clock.Time) {
	b.noteIdleShare(now)
	for h, a := range b.accounts {
		a.bucket.level = min(a.bucket.level, a.bucket.size(b.shareAt(now, h).share))
	}
}

// noteIdleShare tracks the smallest share of a customer without an account, also between two calls.
func (b *Book) noteIdleShare(now clock.Time) {
	if now.Sub(b.period) >= idleTime {
		b.lowestBefore, b.lowest, b.period = b.lowest, b.idleShare(b.noted), now
	}
	for b.noted.Before(now) {
		b.noted = b.nextChange(b.noted, now)
		b.lowest = min(b.lowest, b.idleShare(b.noted))
	}
	b.lowest = min(b.lowest, b.idleShare(now))
}

// idleShare returns the share of a customer that no grant lists.
func (b *Book) idleShare(at clock.Time) Share { return b.ownShare(at) + b.borrower.unlistedShare(at) }

// account returns what is known of a customer, with its bucket filled up to now.
func (b *Book) account(now clock.Time, c ident.Customer, limit bundle.Limit) (*account, granted) {
	h := HashOf(c)
	found := b.accounts[h]
	if found == nil {
		found = &account{name: c, bucket: bucket{updated: now, limit: limit}}
		found.bucket.level = b.untouched(now, limit)
		b.accounts[h] = found
	}
	found.used = now
	return found, b.advance(now, h, &found.bucket)
}

// untouched returns at most the level of a bucket that has not been used for idleTime.
func (b *Book) untouched(now clock.Time, limit bundle.Limit) float64 {
	b.noteIdleShare(now)
	share := min(b.lowest, b.lowestBefore)
	filling := min(idleTime, max(0, now.Sub(b.config.Started)))
	return float64(share) * min(limit.Burst, limit.Rate*seconds(filling))
}

// Take charges a request if the customer's limit allows it. Otherwise it returns false and the time after which the
// share of this instance would allow it.
func (b *Book) Take(now clock.Time, c ident.Customer, limit bundle.Limit, cost float64) (ok bool, retryAfter clock.Span) {
	if !limit.Limited() {
		return true, 0
	}
	if b.nextRound == 0 {
		return false, shareInterval // the first round gives this instance its share
	}
	found, share := b.account(now, c, limit)
	if found.bucket.limit != limit {
		found.bucket.setLimit(limit, share.share)
	}
	found.demand.add(now, cost)
	needed := found.bucket.needed(cost, share.share, b.base, share.scarce)
	if share.share <= 0 || found.bucket.level < needed {
		if early := b.borrower.sent.Add(intervalOf(b.instances(now)) / earlyDivisor); !share.scarce && early.Before(b.nextRound) {
			b.nextRound = early
		}
		return false, b.wait(now, found.bucket, needed, share.share)
	}
	found.bucket.level -= cost
	return true, 0
}

// wait returns the time until the level is reached. A restarted instance has its base share again at a known time.
func (b *Book) wait(now clock.Time, filled bucket, level float64, share Share) clock.Span {
	wait := filled.wait(level, share)
	if until := b.inheritedUntil(now); until.After(now) {
		wait = min(wait, until.Sub(now)+filled.wait(level, b.base))
	}
	return wait
}

// Charge charges a send that may have run, without rejecting it. The limit is that of the request's table, and the
// charge has no effect if the limit has another unit by now.
func (b *Book) Charge(now clock.Time, c ident.Customer, limit bundle.Limit, cost float64) {
	if !limit.Limited() {
		return
	}
	if found, _ := b.account(now, c, limit); found.bucket.limit.Tokens == limit.Tokens {
		found.bucket.level -= cost
	}
}

// Refund returns what Take or Charge has charged for a request that has not run, under the same condition as Charge.
func (b *Book) Refund(now clock.Time, c ident.Customer, limit bundle.Limit, cost float64) {
	if !limit.Limited() {
		return
	}
	if found, share := b.account(now, c, limit); found.bucket.limit.Tokens == limit.Tokens {
		found.bucket.level = min(found.bucket.level+cost, found.bucket.size(share.share))
	}
}

// Round applies what is known of the other instances and returns the messages to send, which there are none of before
// the next interval has passed.
func (b *Book) Round(now clock.Time, members Members) []Outgoing {
	first := b.nextRound == 0
	if now.Before(b.nextRound) && members.Known == b.members.Known && members.Settled == b.members.Settled {
		return nil
	}
	b.advanceAll(now)
	b.members = members
	instances := b.instances(now)
	b.base = 1 / Share(instances)
	if !members.Settled {
		b.base /= unsettledDivisor
	}
	if first {
		b.lowest, b.lowestBefore = b.idleShare(now), b.idleShare(now)
	}
	b.noteShares(now)
	if now.Before(b.nextRound) {
		return nil
	}
	b.nextRound = now.Add(intervalOf(instances))
	b.forgetIdle(now)
	b.allocator.expire(now)
	b.borrower.expire(now, members.Live)
	return b.ask(now, instances)
}

// ask sends a share request to the allocator, which may be this instance.
func (b *Book) ask(now clock.Time, instances int) []Outgoing {
	b.borrower.choose(now, b.members.Live, intervalOf(instances))
	if b.borrower.allocator == "" {
		return nil
	}
	delegable := b.base * (1 - minimumShare)
	if now.Before(b.inheritedUntil(now)) {
		delegable = 0
	}
	request := b.borrower.request(now, b.config.Process, delegable, instances)
	request.Known = b.members.Known
	request.list(b.offers(now))
	b.noteShares(now)
	message := Message{Request: request}
	if b.borrower.allocator != b.config.Self {
		return []Outgoing{{b.borrower.allocator, message}}
	}
	for _, answer := range b.Receive(now, b.config.Self, message) {
		b.Receive(now, b.config.Self, answer.Message)
	}
	return nil
}

// offers returns the demand for the customers with recent requests, as a fraction of their limits.
func (b *Book) offers(now clock.Time) (offers []offer) {
	for h, a := range b.accounts {
		if now.Sub(a.used) < idleTime && a.bucket.limit.Limited() {
			offers = append(offers, offer{h, float32(a.demand.at(now) / a.bucket.limit.Rate)})
		}
	}
	return offers
}

// forgetIdle drops customers without requests, but not their debts.
func (b *Book) forgetIdle(now clock.Time) {
	maps.DeleteFunc(b.accounts, func(_ Hash, a *account) bool { return now.Sub(a.used) >= idleTime && a.bucket.level >= 0 })
}

// Receive processes a message of another instance and returns the messages to send in response.
func (b *Book) Receive(now clock.Time, from ident.Entry, m Message) []Outgoing {
	if m.Request != nil {
		b.noteKnown(now, m.Request.Known)
		grant := b.allocator.answer(now, from, b.config.Process, m.Request, b.instances(now))
		if grant == nil {
			return nil
		}
		grant.Known = b.members.Known
		return []Outgoing{{from, Message{Grant: grant}}}
	}
	if m.Grant != nil {
		b.noteKnown(now, m.Grant.Known)
		b.advanceAll(now)
		b.borrower.receive(now, from, b.config.Process, m.Grant)
		b.noteShares(now)
	}
	return nil
}

// Usage describes a customer's use of its limit at this instance.
type Usage struct {
	Customer ident.Customer
	Share    Share
	Level    float64
	// Demand is a fraction of the limit.
	Demand float64
	Scarce bool
	// GrantAge is the time since the latest grant, or -1 if none is in force.
	GrantAge clock.Span
}

// Usage returns what is known of a customer with recent requests.
func (b *Book) Usage(now clock.Time, c ident.Customer) (Usage, bool) {
	h := HashOf(c)
	found := b.accounts[h]
	if found == nil {
		return Usage{}, false
	}
	share := b.advance(now, h, &found.bucket)
	return Usage{c, share.share, found.bucket.level, found.demand.at(now) / found.bucket.limit.Rate, share.scarce, b.borrower.age(now)}, true
}

// Busiest returns the customers with the largest demand in proportion to their limits, at most count.
func (b *Book) Busiest(now clock.Time, count int) (busiest []Usage) {
	for _, a := range b.accounts {
		if usage, ok := b.Usage(now, a.name); ok {
			busiest = append(busiest, usage)
		}
	}
	slices.SortFunc(busiest, func(a, c Usage) int {
		return cmp.Or(cmp.Compare(c.Demand, a.Demand), cmp.Compare(a.Customer, c.Customer))
	})
	return busiest[:min(count, len(busiest))]
}

// Allocator returns the instance that assigns shares to this one; empty if there is none.
func (b *Book) Allocator() ident.Entry { return b.borrower.allocator }
