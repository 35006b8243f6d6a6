package pool_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// written returns the list entry that a process has written as its n-th one.
func written(incarnation, n int64) pool.Info {
	entry := process("a", incarnation)
	entry.Sequence = n
	return entry
}

// Guards against an endpoint that a restore of the list brings back into an earlier state, and against one that is not
// used again although it has written its entry anew.
func TestRestoredListChangesNothingBack(t *testing.T) {
	drained, moved, newer := written(7, 5), written(7, 5), written(8, 1)
	drained.Leaving, moved.Address = true, "b:1"
	put := func(entry pool.Info) func(*pool.Pool, clock.Time) {
		return func(p *pool.Pool, now clock.Time) { p.Update(now, now, []pool.Info{entry}, nil) }
	}
	gone := func(p *pool.Pool, now clock.Time) { p.Update(now, now, nil, []ident.Endpoint{"a"}) }
	for name, c := range map[string]struct {
		lost     func(*pool.Pool, clock.Time)
		restored pool.Info
		after    func(*pool.Pool, clock.Time)
		want     string
	}{
		"drained":                  {put(drained), written(7, 3), nil, ""},
		"gone":                     {gone, written(7, 3), nil, ""},
		"gone, last entry":         {gone, written(7, 4), nil, ""},
		"gone, written again":      {gone, written(7, 4), put(written(7, 6)), "a:1"},
		"gone, restarted":          {gone, written(7, 4), put(written(8, 1)), "a:1"},
		"moved":                    {put(moved), written(7, 3), nil, "b:1"},
		"moved, written again":     {put(moved), written(7, 3), put(written(7, 6)), "a:1"},
		"restarted in lost time":   {put(newer), written(7, 3), nil, "a:1"},
		"restarted, then drains":   {put(newer), written(7, 3), put(func() pool.Info { i := written(8, 2); i.Leaving = true; return i }()), ""},
		"unknown process, drained": {put(func() pool.Info { i := info("a"); i.Leaving = true; return i }()), info("a"), nil, ""},
		"nothing lost":             {func(*pool.Pool, clock.Time) {}, written(7, 4), nil, "a:1"},
	} {
		t.Run(name, func(t *testing.T) {
			first := written(7, 4)
			if c.restored.Incarnation == 0 {
				first = info("a")
			}
			p := newPool(first)
			c.lost(p, start.Add(100))
			now := start.Add(2000)
			p.RecordRestore(now)
			p.Update(now, now, []pool.Info{c.restored}, nil)
			if c.after != nil {
				c.after(p, now.Add(100))
			}
			for _, at := range []clock.Time{now.Add(200), now.Add(9 * clock.Second)} {
				p.Update(at, at, nil, nil)
				choice, _ := choose(p, at, plainRequest)
				require.Equal(t, c.want, choice.Address)
			}
		})
	}
}

// Guards against an endpoint that started in the lost time and is dropped before it can write its entry again, and
// against one that is kept although it does not.
func TestEndpointMissingAfterRestoreIsKeptForAWhile(t *testing.T) {
	p := newPool(written(7, 4))
	now := start.Add(1000) // no outage: the list was read a second before
	p.RecordRestore(now)
	p.Update(now, now, nil, []ident.Endpoint{"a"})
	for after, want := range map[clock.Span]bool{0: true, 2000: true} {
		p.Update(now.Add(after), now.Add(after), nil, nil)
		_, ok := choose(p, now.Add(after), plainRequest)
		require.Equal(t, want, ok, after)
	}
	p.Update(now.Add(2400), now.Add(2400), nil, nil)
	_, ok := choose(p, now.Add(2400), plainRequest)
	require.False(t, ok)
	p.Update(now.Add(2500), now.Add(2500), []pool.Info{written(7, 6)}, nil)
	_, ok = choose(p, now.Add(2500), plainRequest)
	require.True(t, ok)
}

// Guards against an endpoint that stays out of use for good because the clock of its machine was set back while it
// restarted: without a restore of the list, another process is taken as it is.
func TestProcessWithEarlierStartIsTaken(t *testing.T) {
	p := newPool(written(8, 4))
	for _, incarnation := range []int64{7, 9} {
		changes := p.Update(start, start, []pool.Info{written(incarnation, 1)}, nil)
		require.Len(t, changes, 1)
		require.Equal(t, pool.Restarted, changes[0].Kind)
	}
	p.Update(start, start, nil, []ident.Endpoint{"a"})
	p.Update(start, start, []pool.Info{written(9, 1)}, nil)
	_, ok := choose(p, start, plainRequest)
	require.True(t, ok, "listed again with the same sequence number")
}
