package member_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// checker verifies after every step that no table goes back to an earlier incarnation or
// shows one that was never started.
type checker struct {
	*network
	incarnations map[[2]ident.Entry]ident.Incarnation
	current      map[ident.Entry]ident.Incarnation
}

func (c *checker) check(t require.TestingT) {
	for _, n := range c.names {
		for _, m := range c.processes[n].table.Members() {
			pair := [2]ident.Entry{n, m.Entry}
			require.GreaterOrEqual(t, m.Incarnation, c.incarnations[pair], "incarnation of %s at %s", m.Entry, n)
			require.LessOrEqual(t, m.Incarnation, c.current[m.Entry], "invented incarnation of %s at %s", m.Entry, n)
			c.incarnations[pair] = m.Incarnation
		}
	}
}

func (c *checker) restart(i int) {
	n := c.names[i]
	c.current[n]++
	for _, m := range c.names {
		delete(c.incarnations, [2]ident.Entry{n, m})
	}
	c.start(i, c.current[n])
}

func (c *checker) injectEvent(t *rapid.T) {
	i := rapid.IntRange(0, len(c.names)-1).Draw(t, "entry")
	j := rapid.IntRange(0, len(c.names)-1).Draw(t, "other")
	switch rapid.SampledFrom([]string{"cut", "mend", "pause", "resume", "restart", "isolate", "join", "loss"}).Draw(t, "event") {
	case "cut":
		c.blocked[[2]ident.Entry{c.names[i], c.names[j]}] = true
	case "mend":
		c.blocked[[2]ident.Entry{c.names[i], c.names[j]}] = false
	case "pause":
		c.processes[c.names[i]].paused = true
	case "resume":
		c.processes[c.names[i]].paused = false
	case "restart":
		c.restart(i)
	case "isolate":
		c.isolate(i, true)
	case "join":
		c.isolate(i, false)
	case "loss":
		c.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	}
}

func (c *checker) heal() {
	c.loss = 0
	clear(c.blocked)
	for _, p := range c.processes {
		p.paused = false
	}
}

// Guards against members that stay failed after a partition has healed, against
// records of an earlier incarnation that replace those of a later one, and against
// failure reports by a process that has just resumed from a pause.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 5).Draw(t, "entries")
		w := newNetwork(n, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.Uint64().Draw(t, "seed"))
		c := &checker{network: w, incarnations: map[[2]ident.Entry]ident.Incarnation{}, current: map[ident.Entry]ident.Incarnation{}}
		for _, e := range w.names {
			c.current[e] = 1
		}
		w.onSend = func(p packet) {
			if w.processes[p.from].table.Ready(w.now) {
				return
			}
			for _, m := range p.updates {
				require.NotContains(t, []gossip.State{gossip.Suspect, gossip.Failed}, m.State, "%s reports %s before it is ready", p.from, m.Entry)
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			c.injectEvent(t)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				c.advance()
				c.check(t)
			}
		}
		c.heal()
		w.run(2 * clock.Minute)
		c.check(t)
		for i := range n {
			require.True(t, w.table(i).Ready(w.now), "%s is not ready", w.names[i])
			for _, m := range w.table(i).Members() {
				require.Equal(t, gossip.Alive, m.State, "%s at %s", m.Entry, w.names[i])
				require.Equal(t, c.current[m.Entry], m.Incarnation)
			}
		}
	})
}

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
