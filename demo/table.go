package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// shownErrors bounds the errors that are printed of one way to end.
const shownErrors = 4

// printTables prints what was sent and what was checked.
func printTables(out io.Writer, all []result, c *checks) {
	printTraffic(out, all)
	printErrors(out, all)
	printChecks(out, c)
}

func printTraffic(out io.Writer, all []result) {
	ends := []end{completed, refused, unknown, failed, pending}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "\nrequests\tsent\t")
	for _, e := range ends {
		_, _ = fmt.Fprintf(t, "%s\t", e)
	}
	_, _ = fmt.Fprint(t, "sent again\t\n")
	for _, w := range []work{question, draft, order, stock} {
		_, _ = fmt.Fprintf(t, "%s\t%d\t", w, count(all, w, func(*result) bool { return true }))
		for _, e := range ends {
			_, _ = fmt.Fprintf(t, "%d\t", count(all, w, func(r *result) bool { return r.end == e }))
		}
		_, _ = fmt.Fprintf(t, "%d\t\n", count(all, w, func(r *result) bool { return r.attempts > 1 }))
	}
	_ = t.Flush()
}

func count(all []result, w work, match func(*result) bool) int {
	n := 0
	for i := range all {
		if all[i].work == w && match(&all[i]) {
			n++
		}
	}
	return n
}

func printChecks(out io.Writer, c *checks) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "\nguarantee\tchecks\tviolations\n")
	for g := regionsHold; g <= guarantees; g++ {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", g, c.done[g], len(c.broken[g]))
	}
	_ = t.Flush()
	for g := regionsHold; g <= guarantees; g++ {
		for _, v := range c.broken[g][:min(len(c.broken[g]), shownViolations)] {
			_, _ = fmt.Fprintf(out, "%s: %s\n", g, v)
		}
	}
}

// printErrors prints the first errors of each way in which requests ended.
func printErrors(out io.Writer, all []result) {
	for _, e := range []end{pending, failed, unknown, refused} {
		shown := 0
		for i := range all {
			if all[i].end == e && shown < shownErrors {
				printError(out, &all[i], all[0].begun)
				shown++
			}
		}
	}
}

func printError(out io.Writer, r *result, start time.Time) {
	_, _ = fmt.Fprintf(out, "%s from %s (home %q) at %.1f s, %d sends, %s after %.1f s: %v\n", r.work, r.region, r.home,
		r.begun.Sub(start).Seconds(), r.attempts, r.end, r.ended.Sub(r.begun).Seconds(), r.err)
}
