package gate

import "github.com/tanagerbridge/tanagerbridge/clock"

const (
	// defaultGrace is the grace period if the settings specify none.
	defaultGrace = 10 * clock.Second
	// drainLinger is how long a leaving instance keeps accepting all requests that can be expected to end in
	// time. Callers may use a directory response for up to three times its validity, but the callers of the
	// region must not be left without an instance for long.
	drainLinger = 2 * clock.Second
	// quietWaitDivisor limits the wait for minQuiet to 1/quietWaitDivisor of the grace period, once
	// while callers are served and once more while they are refused.
	quietWaitDivisor = 8
	// cutOffMargin is how long before the kill requests in progress are cut off, and answerMargin how long
	// before that they are answered instead. A short grace period shortens both to 1/marginDivisor of it.
	cutOffMargin  = 300 * clock.Millisecond
	answerMargin  = 300 * clock.Millisecond
	marginDivisor = 8
	// needTargets is the time that a request is expected to need, as a multiple of its route's target, if
	// nothing better is known.
	needTargets = 4
)

// schedule is the course of a shutdown. It is computed once, from the time of the stop signal and the grace
// period, so that admission and the end of service agree.
type schedule struct {
	// lingerUntil is until when an estimate is enough to accept a stream. Later its time limit must fit:
	// a stream that has begun can only be cut off.
	lingerUntil clock.Time
	// refuseFrom is when the instance refuses all further requests, at the latest.
	refuseFrom clock.Time
	// answerBy is when requests in progress are answered, and cutOffAt when those that can't be are cut off.
	answerBy clock.Time
	cutOffAt clock.Time
}

// newSchedule returns the schedule for a stop signal that may have been sent at a time.
func newSchedule(signalled clock.Time, grace clock.Span) schedule {
	if grace <= 0 {
		grace = defaultGrace
	}
	linger := min(drainLinger, grace/2)
	cutOffAt := signalled.Add(grace - min(cutOffMargin, grace/marginDivisor))
	return schedule{
		lingerUntil: signalled.Add(linger), refuseFrom: signalled.Add(linger + grace/quietWaitDivisor),
		cutOffAt: cutOffAt, answerBy: cutOffAt.Add(-min(answerMargin, grace/marginDivisor)),
	}
}

// need is the time that a request may take.
type need struct {
	// expected is the time that it probably takes, limit the time that it may take at most.
	expected clock.Span
	limit    clock.Span
	// stream reports whether the response can only be cut off once it has begun.
	stream bool
	// hopped reports whether another instance passes the request on, which can choose a different one.
	hopped bool
}

// fits reports whether a request that is sent now can be answered before the end of the shutdown.
func (s *schedule) fits(now clock.Time, n need) bool {
	span := min(n.expected, n.limit)
	if n.stream && (n.hopped || !now.Before(s.lingerUntil)) {
		span = n.limit
	}
	return !now.Add(span).After(s.answerBy)
}

// accepts reports whether the instance accepts a request that has just arrived.
func (s *schedule) accepts(now clock.Time, n need) bool {
	return now.Before(s.refuseFrom) && s.fits(now, n)
}
