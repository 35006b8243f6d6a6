package clock

// Backoff is the wait between attempts of a call that keeps failing. It doubles with each failure, from First up
// to Last. The caller of Next adds the jitter.
type Backoff struct {
	First, Last Span
	failures    int
}

// Next returns the wait after one more failure.
func (b *Backoff) Next() Span {
	wait := Doubled(b.First, b.Last, b.failures)
	b.failures++
	return wait
}

// Reset makes the next wait First again.
func (b *Backoff) Reset() { b.failures = 0 }

// Doubled returns first doubled the given number of times, but at most last.
func Doubled(first, last Span, times int) Span {
	for range times {
		if first >= last {
			break
		}
		first *= 2
	}
	return min(first, last)
}

// Jitter returns a random span from 3/4 to 5/4 of the given one. random returns a number from 0 to n-1.
func Jitter(span Span, random func(n int64) int64) Span {
	return span*3/4 + Span(random(int64(span)/2+1))
}
