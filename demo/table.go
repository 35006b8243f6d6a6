package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// maxShownErrors is the number of errors printed per outcome state.
const maxShownErrors = 4

// printTables prints the requests, the errors and the checks.
func printTables(out io.Writer, all []result, c *checks) {
	printTraffic(out, all)
	printErrors(out, all)
	printChecks(out, c)
}

func printTraffic(out io.Writer, all []result) {
	ends := []outcomeState{completed, refused, unknown, failed, pending}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "\nrequests\tsent\t")
	for _, e := range ends {
		_, _ = fmt.Fprintf(t, "%s\t", e)
	}
	_, _ = fmt.Fprint(t, "resent\t\n")
	for _, w := range []requestKind{question, draft, order, stock} {
		_, _ = fmt.Fprintf(t, "%s\t%d\t", w, count(all, w, func(*result) bool { return true }))
		for _, e := range ends {
			_, _ = fmt.Fprintf(t, "%d\t", count(all, w, func(r *result) bool { return r.state == e }))
		}
		_, _ = fmt.Fprintf(t, "%d\t\n", count(all, w, func(r *result) bool { return r.attempts > 1 }))
	}
	_ = t.Flush()
}

func count(all []result, w requestKind, match func(*result) bool) int {
	n := 0
	for i := range all {
		if all[i].kind == w && match(&all[i]) {
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
	for g := allowedRegions; g <= guarantees; g++ {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", g, c.checked[g], len(c.violated[g]))
	}
	_ = t.Flush()
	for g := allowedRegions; g <= guarantees; g++ {
		for _, v := range c.violated[g][:min(len(c.violated[g]), maxShownViolations)] {
			_, _ = fmt.Fprintf(out, "%s: %s\n", g, v)
		}
	}
}

// printErrors prints the first errors of each outcome state.
func printErrors(out io.Writer, all []result) {
	for _, e := range []outcomeState{pending, failed, unknown, refused} {
		shown := 0
		for i := range all {
			if all[i].state == e && shown < maxShownErrors {
				printError(out, &all[i], all[0].startedAt)
				shown++
			}
		}
	}
}

func printError(out io.Writer, r *result, start time.Time) {
	_, _ = fmt.Fprintf(out, "%s from %s (home %q) at %.1f s, %d sends, %s after %.1f s: %v\n", r.kind, r.region, r.home,
		r.startedAt.Sub(start).Seconds(), r.attempts, r.state, r.endedAt.Sub(r.startedAt).Seconds(), r.err)
}
