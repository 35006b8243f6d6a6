package crash_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	start    clock.Time = 1_000_000
	partTerm            = 2 * clock.Minute
)

func starting(at ident.Crash, request ident.Fingerprint, parts ...ident.Part) crash.InFlightRequest {
	return crash.InFlightRequest{Fingerprint: request, Parts: parts, Starting: true, Crash: at}
}

func streaming(at ident.Crash, request ident.Fingerprint, parts ...ident.Part) crash.InFlightRequest {
	return crash.InFlightRequest{Fingerprint: request, Parts: parts, Crash: at}
}

func refusedParts(parts *crash.Parts, now clock.Time) (ids []ident.Part) {
	for _, v := range parts.Verdicts(now) {
		ids = append(ids, v.Part)
	}
	return ids
}

// Guards against the refusal of parts that are no cause, and against one that is not found.
func TestPartVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight []crash.InFlightRequest
		// complete lists parts of a request that completes before the crashes.
		complete []ident.Part
		refused  []ident.Part
	}{
		"one crash":                  {inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(1, 2, 10, 20)}},
		"one request at two crashes": {inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 1, 10, 20)}},
		"the deeper of two parts":    {inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20)}, refused: []ident.Part{20}},
		"first part shared by others at the crashes": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(1, 3, 10, 21), starting(2, 2, 10, 20), starting(2, 4, 10, 22)}, refused: []ident.Part{20},
		},
		"first part is the cause": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 21), starting(3, 3, 10, 22)}, refused: []ident.Part{10},
		},
		"two causes with one first part": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20), starting(3, 3, 10, 21), starting(4, 4, 10, 21)}, refused: []ident.Part{20, 21},
		},
		"streamed for long":     {inFlight: []crash.InFlightRequest{streaming(1, 1, 10, 20), streaming(2, 2, 10, 20)}},
		"a request of one part": {inFlight: []crash.InFlightRequest{starting(1, 1), starting(2, 2)}},
		"completed before": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20)}, complete: []ident.Part{10, 20},
		},
		"harmless part at both crashes": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20), starting(1, 3, 11, 15, 12), starting(2, 2, 10, 20), starting(2, 4, 11, 15, 12)},
			complete: []ident.Part{11, 15, 12}, refused: []ident.Part{20},
		},
		"unproven parts after the cause": {
			inFlight: []crash.InFlightRequest{starting(1, 1, 10, 20, 31), starting(2, 2, 10, 20, 32), starting(3, 3, 10, 20, 31), starting(4, 4, 10, 20, 32)},
			refused:  []ident.Part{20},
		},
	} {
		t.Run(name, func(t *testing.T) {
			parts := crash.NewParts(crash.PartsConfig{})
			parts.RecordCompletion(start, c.complete, nil)
			parts.RecordCrash(start+1, c.inFlight)
			require.Equal(t, c.refused, refusedParts(parts, start+2))
			require.Empty(t, refusedParts(parts, start+1+clock.Time(partTerm)), "after the term")
		})
	}
}

// Guards against a wrong verdict that lasts, and against trials that crash endpoint after endpoint.
func TestTrialOfRefusedPart(t *testing.T) {
	owner, other := crash.NewParts(crash.PartsConfig{}), crash.NewParts(crash.PartsConfig{})
	owner.RecordCrash(start, []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20)})
	other.Merge(start, owner.Facts(start))
	request := []ident.Part{10, 20}
	yes, no := func(ident.Part) bool { return true }, func(ident.Part) bool { return false }
	now := start.Add(20 * clock.Second)
	require.False(t, owner.StartTrial(now-1, request, yes), "too early")
	require.False(t, other.StartTrial(now, request, no), "another instance tries the part")
	require.True(t, owner.StartTrial(now, request, yes))
	require.False(t, owner.StartTrial(now+1, request, yes), "one at a time")
	owner.RecordCrash(now+2, []crash.InFlightRequest{starting(3, 3, request...)})
	other.Merge(now+2, owner.Facts(now+2))
	require.False(t, owner.StartTrial(now.Add(39*clock.Second), request, yes), "the delay doubles")
	now = now.Add(41 * clock.Second)
	require.True(t, owner.StartTrial(now, request, yes))
	owner.RecordCompletion(now+5, request, nil)
	other.Merge(now+6, owner.Facts(now+6))
	require.Empty(t, refusedParts(owner, now+7))
	require.Empty(t, refusedParts(other, now+7))
	owner.Merge(now+8, gossip.PartFacts{PartReports: []gossip.PartReport{{Part: 20, Crash: 1, Request: 1, Remaining: partTerm}, {Part: 20, Crash: 2, Request: 2, Remaining: partTerm}}})
	require.Empty(t, refusedParts(owner, now+9), "old evidence arrives after the completion")
}

// Guards against evidence that instances hand to each other for ever.
func TestPartEvidenceExpires(t *testing.T) {
	one, two := crash.NewParts(crash.PartsConfig{}), crash.NewParts(crash.PartsConfig{})
	one.RecordCrash(start, []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20)})
	now := start
	var toOne, toTwo gossip.PartFacts
	for ; now < start.Add(partTerm+5*clock.Second); now = now.Add(400) {
		refusedParts(one, now)
		refusedParts(two, now)
		one.Merge(now, toOne) // sent 350 ms ago
		two.Merge(now, toTwo)
		if now.After(start.Add(partTerm + 2*clock.Second)) {
			require.Empty(t, append(refusedParts(one, now), refusedParts(two, now)...))
		}
		toTwo, toOne = one.Facts(now.Add(50)), two.Facts(now.Add(50))
	}
}

// Guards against a part of a home-bound request that is told to other regions.
func TestPartOfHomeBoundRequestStaysInItsRegions(t *testing.T) {
	parts := crash.NewParts(crash.PartsConfig{})
	bound := starting(1, 1, 10, 20)
	bound.Regions = []ident.Region{"a"}
	parts.RecordCrash(start, []crash.InFlightRequest{bound, starting(1, 2, 30)})
	require.Len(t, parts.Facts(start).VisibleTo("a").PartReports, 3)
	require.Equal(t, []gossip.PartReport{{Part: 30, Crash: 1, Request: 2, Remaining: partTerm}}, parts.Facts(start).VisibleTo("b").PartReports)
	parts.RecordCompletion(start, []ident.Part{10}, []ident.Region{"a"})
	require.Len(t, parts.Facts(start).VisibleTo("a").PartClearances, 1)
	require.Empty(t, parts.Facts(start).VisibleTo("b").PartClearances)
}

// Guards against unbounded memory and messages when requests with many parts crash endpoints.
func TestPartsAreBounded(t *testing.T) {
	parts := crash.NewParts(crash.PartsConfig{})
	for i := range 3000 {
		n := ident.Part(i)
		parts.RecordCrash(start, []crash.InFlightRequest{starting(ident.Crash(i), ident.Fingerprint(i), 1_000_000, n, n+1)})
	}
	require.LessOrEqual(t, len(parts.Facts(start).PartReports), 32)
	for i := range 10_000 {
		parts.RecordCompletion(start, []ident.Part{ident.Part(i)}, nil)
	}
	require.LessOrEqual(t, len(parts.Facts(start).PartClearances), 16)
	require.Equal(t, []ident.Part{1_000_000}, refusedParts(parts, start))
}

// Guards against a refused part that is forgotten because many other parts are at crashes.
func TestRefusedPartStaysInFullTable(t *testing.T) {
	parts := crash.NewParts(crash.PartsConfig{})
	parts.RecordCrash(start, []crash.InFlightRequest{starting(1, 1, 10, 20), starting(2, 2, 10, 20)})
	require.Equal(t, []ident.Part{20}, refusedParts(parts, start))
	for i := range 600 {
		n := ident.Part(1000 + 2*i)
		parts.RecordCrash(start+1, []crash.InFlightRequest{starting(ident.Crash(100+i%12), ident.Fingerprint(100+i), 11, n, n+1)})
	}
	parts.RecordCompletion(start+2, []ident.Part{10, 11}, nil)
	require.Equal(t, []ident.Part{20}, refusedParts(parts, start+3))
}

// Guards against a part that is not found because many requests with it, or with other parts, were
// starting at each crash.
func TestManyRequestsAtACrash(t *testing.T) {
	one, two := crash.NewParts(crash.PartsConfig{}), crash.NewParts(crash.PartsConfig{})
	for at := range ident.Crash(2) {
		var inFlight []crash.InFlightRequest
		for i := range 40 {
			n := ident.Fingerprint(100*uint64(at) + uint64(i))
			inFlight = append(inFlight, starting(at, n, 10, 5000), starting(at, n+50, 10, ident.Part(1000+n)))
		}
		one.RecordCrash(start, inFlight)
	}
	require.Equal(t, []ident.Part{5000}, refusedParts(one, start))
	for range 20 {
		two.Merge(start, one.Facts(start))
	}
	require.Equal(t, []ident.Part{5000}, refusedParts(two, start))
}

const (
	deadly    ident.Part = 100
	instances int        = 3
)

// partFleet is a group of instances that exchange what they know with delays, losses and duplicates.
type partFleet struct {
	t        *rapid.T
	parts    []*crash.Parts
	now      clock.Time
	messages []gossip.PartFacts
	requests ident.Fingerprint
	crashes  ident.Crash
	deadly   int
	complete map[ident.Part]bool
	// after counts the crashes by the part that came after the deadly one.
	after map[ident.Part]int
}

// request returns a new request with a first part, a second part and its own last one left out.
func (f *partFleet) request(second ident.Part) crash.InFlightRequest {
	f.requests++
	return starting(0, f.requests, ident.Part(rapid.IntRange(1, 2).Draw(f.t, "first")), second)
}

func (f *partFleet) soundRequest() crash.InFlightRequest {
	return f.request(ident.Part(rapid.IntRange(101, 105).Draw(f.t, "second")))
}

// crash lets a request with the deadly part crash an endpoint at which other instances have sound ones.
func (f *partFleet) crash() {
	at := rapid.IntRange(0, instances-1).Draw(f.t, "instance")
	crasher := f.request(deadly)
	after := ident.Part(rapid.IntRange(201, 203).Draw(f.t, "third"))
	crasher.Parts = append(crasher.Parts, after)
	if _, refused := f.parts[at].Refused(f.now, crasher.Parts); refused {
		return
	}
	f.crashes++
	f.deadly++
	f.after[after]++
	inFlight := make([][]crash.InFlightRequest, instances)
	inFlight[at] = append(inFlight[at], crasher)
	for i := range inFlight {
		for range rapid.IntRange(0, 1).Draw(f.t, "others") {
			inFlight[i] = append(inFlight[i], f.soundRequest())
		}
		for n := range inFlight[i] {
			inFlight[i][n].Crash = f.crashes
		}
		f.parts[i].RecordCrash(f.now, inFlight[i])
	}
}

// sameAfter reports whether the same part came after the deadly one at all crashes, so that either may be
// the cause.
func (f *partFleet) sameAfter() bool {
	for _, crashes := range f.after {
		if crashes == f.deadly {
			return true
		}
	}
	return false
}

// completion lets a sound request complete unless it is refused.
func (f *partFleet) completion() {
	at := f.parts[rapid.IntRange(0, instances-1).Draw(f.t, "instance")]
	sound := f.soundRequest()
	if _, refused := at.Refused(f.now, sound.Parts); refused {
		return
	}
	at.RecordCompletion(f.now, sound.Parts, nil)
	for _, part := range sound.Parts {
		f.complete[part] = true
	}
}

func (f *partFleet) exchange() {
	from := rapid.IntRange(0, instances-1).Draw(f.t, "from")
	f.messages = append(f.messages, f.parts[from].Facts(f.now))
	for range rapid.IntRange(0, 3).Draw(f.t, "deliveries") {
		message := f.messages[rapid.IntRange(max(0, len(f.messages)-8), len(f.messages)-1).Draw(f.t, "message")]
		f.parts[rapid.IntRange(0, instances-1).Draw(f.t, "to")].Merge(f.now, message)
	}
}

// spread lets all instances tell each other all they know.
func (f *partFleet) spread() {
	for range 2 * instances {
		for _, from := range f.parts {
			for _, to := range f.parts {
				to.Merge(f.now, from.Facts(f.now))
			}
		}
	}
}

// Guards, over random interleavings of crashes, completions and messages in any order, lost or
// duplicate, against instances that disagree for ever, against a deadly part that still runs once all
// know of two crashes, and against the refusal of a part with which requests complete.
func TestPartInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &partFleet{t: t, now: start, complete: make(map[ident.Part]bool), after: make(map[ident.Part]int)}
		for range instances {
			f.parts = append(f.parts, crash.NewParts(crash.PartsConfig{}))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.now = f.now.Add(clock.Span(rapid.IntRange(1, 400).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if f.deadly < 6 {
					f.crash()
				}
			case 1, 2:
				f.completion()
			default:
				f.exchange()
			}
		}
		f.spread()
		for _, p := range f.parts {
			require.Equal(t, f.parts[0].Verdicts(f.now), p.Verdicts(f.now))
			for part := range f.complete {
				_, refused := p.Refused(f.now, []ident.Part{part})
				require.False(t, refused, "part %d of a completed request", part)
			}
		}
		// However the crashes were explained so far, the sound parts complete sooner or later.
		for sound := range ident.Part(5) {
			f.parts[0].RecordCompletion(f.now, []ident.Part{1, 2, 101 + sound}, nil)
		}
		f.spread()
		for _, p := range f.parts {
			_, refused := p.Refused(f.now, []ident.Part{deadly})
			require.Equal(t, f.deadly >= 2 && !f.sameAfter(), refused, "after %d crashes", f.deadly)
			for after := range f.after {
				_, refused = p.Refused(f.now, []ident.Part{deadly, after})
				require.Equal(t, f.deadly >= 2, refused, "with the part after it, after %d crashes", f.deadly)
			}
		}
	})
}
