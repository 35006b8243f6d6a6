package memory

import (
	"cmp"
	"container/list"
	"slices"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Budget holds the accounts of a process. It is safe for concurrent use; a nil Budget has no limits.
type Budget struct {
	config Config
	mu     sync.Mutex
	used   int64
	// accounts holds the *Account in the order in which they are visited next.
	accounts *list.List
}

// NewBudget returns a Budget without accounts.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, accounts: list.New()}
}

// Account is what one connection holds. A nil Account has no limits.
type Account struct {
	budget *Budget
	// evict interrupts the connection. It is called once, without locks of the budget, and must not wait.
	evict func(Phase, Cause)
	// fixed accounts are never evicted.
	fixed bool

	// The rest is guarded by the mutex of the budget.
	// element is the place in the budget's accounts, nil once the account is removed.
	element *list.Element
	phase   Phase
	entered clock.Time
	held    int64
	evicted bool
	// moved is when the last bytes moved.
	moved clock.Time
	// since is the start of the current span of the rate, recent what has moved in it, and before what moved in the
	// span before.
	since          clock.Time
	recent, before int64
	// checkedAt is the start of the span in which the account must move the least, and checked what it has moved.
	checkedAt clock.Time
	checked   int64
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open opens the account of a new connection, and reports false if there are too many that are all in use. A fixed
// account is always opened, and never evicted.
func (b *Budget) Open(now clock.Time, fixed bool, evict func(Phase, Cause)) (*Account, bool) {
	if b == nil {
		return nil, true
	}
	var victim *Account
	b.mu.Lock()
	if limit := b.config.Connections; limit > 0 && b.accounts.Len() >= limit {
		if victim = b.slowestIn(now, func(*Account) bool { return true }); victim == nil && !fixed {
			b.mu.Unlock()
			return nil, false
		}
	}
	interrupt := b.drop(victim, CauseConnections)
	a := &Account{budget: b, evict: evict, fixed: fixed, phase: Idle, moved: now, since: now, checkedAt: now}
	a.element = b.accounts.PushBack(a)
	b.mu.Unlock()
	interrupt()
	return a, true
}

// DropAnswer evicts the answer that is read most slowly, and reports whether there was one.
func (b *Budget) DropAnswer(now clock.Time) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	victim := b.slowestIn(now, func(a *Account) bool { return a.phase == Answer && a.held > 0 })
	interrupt := b.drop(victim, CauseMemory)
	b.mu.Unlock()
	interrupt()
	return victim != nil
}

// slowestIn returns the slowest of the accounts that may be evicted and for which fits returns true, or nil. The caller
// holds mu.
func (b *Budget) slowestIn(now clock.Time, fits func(*Account) bool) *Account {
	left := min(maxVisited, b.accounts.Len())
	found := b.candidates(now, &left, fits)
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(x, y *Account) int { return compareSpeed(now, x, y) })
}

// victims returns slow accounts that may be evicted and hold at least bytes together, the slowest first, or none if
// those that are visited hold less. The caller holds mu.
func (b *Budget) victims(now clock.Time, bytes int64, except *Account) (chosen []*Account) {
	fits := func(a *Account) bool { return a != except && a.held > 0 }
	for left := min(maxVisited, b.accounts.Len()); left > 0; {
		found := b.candidates(now, &left, fits)
		slices.SortFunc(found, func(x, y *Account) int { return compareSpeed(now, x, y) })
		for _, a := range found {
			chosen = append(chosen, a)
			if bytes -= a.held; bytes <= 0 {
				return chosen
			}
		}
	}
	return nil
}

// candidates returns up to maxCompared accounts that may be evicted and for which fits returns true. It visits up to
// left accounts and subtracts those visited: with thousands, a full comparison for each new connection would take the
// processors. The caller holds mu.
func (b *Budget) candidates(now clock.Time, left *int, fits func(*Account) bool) (found []*Account) {
	for ; *left > 0 && len(found) < maxCompared; *left-- {
		a := b.visit()
		begun := a.phase != Idle && now.Sub(a.entered) < graceSpan
		if !a.fixed && a.phase != Running && !begun && fits(a) {
			found = append(found, a)
		}
	}
	return found
}

// visit returns the account that was visited longest ago. There must be one, and the caller holds mu.
func (b *Budget) visit() *Account {
	element := b.accounts.Front()
	b.accounts.MoveToBack(element)
	return element.Value.(*Account)
}

// remove takes an account out of the list, if it is still in it. The caller holds mu.
func (b *Budget) remove(a *Account) {
	if a.element != nil {
		b.accounts.Remove(a.element)
		a.element = nil
	}
}

// compareSpeed compares the rates for each byte held, then the bytes held, then the times without progress. It is
// negative if a is slower.
func compareSpeed(now clock.Time, a, b *Account) int {
	return cmp.Or(
		cmp.Compare(a.rate(now)*float64(max(1, b.held)), b.rate(now)*float64(max(1, a.held))),
		cmp.Compare(b.held, a.held),
		cmp.Compare(a.moved, b.moved),
	)
}

// rate returns the bytes that moved in the last one to two spans.
func (a *Account) rate(now clock.Time) float64 {
	a.roll(now)
	return float64(a.recent + a.before)
}

func (a *Account) roll(now clock.Time) {
	switch passed := now.Sub(a.since); {
	case passed >= 2*rateSpan:
		a.since, a.recent, a.before = now, 0, 0
	case passed >= rateSpan:
		a.since, a.recent, a.before = a.since.Add(rateSpan), 0, a.recent
	}
}

// drop removes an account, which may be nil, and returns a function that interrupts its connection. What it holds counts
// as free at once: the interrupted connection releases it within moments. The caller holds mu.
func (b *Budget) drop(a *Account, cause Cause) func() {
	if a == nil {
		return func() {}
	}
	b.remove(a)
	b.used -= a.held
	a.held, a.evicted = 0, true
	phase := a.phase
	return func() { a.evict(phase, cause) }
}

// Hold adds bytes to an account. If they are not free, slower accounts are evicted; it reports false if they are
// not enough, or if the account itself has been evicted, and adds nothing then.
func (a *Account) Hold(now clock.Time, bytes int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	if a.evicted {
		b.mu.Unlock()
		return false
	}
	var interrupts []func()
	if excess := b.used + bytes - b.config.Bytes; b.config.Bytes > 0 && excess > 0 && bytes > 0 {
		victims := b.victims(now, excess, a)
		if victims == nil {
			b.mu.Unlock()
			return false
		}
		for _, victim := range victims {
			interrupts = append(interrupts, b.drop(victim, CauseMemory))
		}
	}
	a.held += bytes
	b.used += bytes
	b.mu.Unlock()
	for _, interrupt := range interrupts {
		interrupt()
	}
	return true
}

// Record adds bytes that are in memory already, also beyond the limit, so that the account can be evicted for them. It
// adds nothing if the account itself has been evicted.
func (a *Account) Record(bytes int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return
	}
	a.held += bytes
	a.budget.used += bytes
}

// Move records bytes that the caller has sent or read.
func (a *Account) Move(now clock.Time, bytes int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.roll(now)
	a.moved = now
	a.recent += int64(bytes)
	a.checked += int64(bytes)
}

// Enter begins a phase, and reports false if the account has been evicted.
func (a *Account) Enter(now clock.Time, phase Phase) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.phase != phase {
		a.phase, a.entered, a.checkedAt, a.checked = phase, now, now, 0
	}
	return !a.evicted
}

// Reset releases what the account holds at the end of a request.
func (a *Account) Reset(now clock.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.used -= a.held
	a.held, a.phase, a.checkedAt, a.checked = 0, Idle, now, 0
}

// Close releases the account when its connection has ended.
func (a *Account) Close(now clock.Time) {
	if a == nil {
		return
	}
	a.Reset(now)
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
	a.evicted = true
}

// DropSlow evicts the bodies and answers that have moved less than they must.
func (b *Budget) DropSlow(now clock.Time) {
	if b == nil {
		return
	}
	var interrupts []func()
	b.mu.Lock()
	for element := b.accounts.Front(); element != nil; {
		a := element.Value.(*Account)
		element = element.Next() // drop removes the element
		if a.fixed || a.phase != Body && a.phase != Answer || now.Sub(a.checkedAt) < b.config.LeastSpan {
			continue
		}
		if a.checked < b.config.LeastBytes {
			interrupts = append(interrupts, b.drop(a, CauseSlow))
			continue
		}
		a.checkedAt, a.checked = now, 0
	}
	b.mu.Unlock()
	for _, interrupt := range interrupts {
		interrupt()
	}
}
