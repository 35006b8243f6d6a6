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
func printTables(out io.Writer, all []result, checks *checks) {
	printTraffic(out, all)
	printErrors(out, all)
	printChecks(out, checks)
}

func printTraffic(out io.Writer, all []result) {
	states := []outcomeState{completed, refused, unknown, failed, pending}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "\nrequests\tsent\t")
	for _, s := range states {
		_, _ = fmt.Fprintf(table, "%s\t", s)
	}
	_, _ = fmt.Fprint(table, "resent\t\n")
	for _, k := range []requestKind{question, draft, order, stock} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t", k, count(all, k, func(*result) bool { return true }))
		for _, s := range states {
			_, _ = fmt.Fprintf(table, "%d\t", count(all, k, func(request *result) bool { return request.state == s }))
		}
		_, _ = fmt.Fprintf(table, "%d\t\n", count(all, k, func(request *result) bool { return request.attempts > 1 }))
	}
	_ = table.Flush()
}

func count(all []result, kind requestKind, match func(*result) bool) int {
	total := 0
	for i := range all {
		if all[i].kind == kind && match(&all[i]) {
			total++
		}
	}
	return total
}

func printChecks(out io.Writer, checks *checks) {
	checks.mu.Lock()
	defer checks.mu.Unlock()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "\nguarantee\tchecks\tviolations\n")
	for g := allowedRegions; g <= guarantees; g++ {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", g, checks.checked[g], len(checks.violated[g]))
	}
	_ = table.Flush()
	for g := allowedRegions; g <= guarantees; g++ {
		for _, v := range checks.violated[g][:min(len(checks.violated[g]), maxShownViolations)] {
			_, _ = fmt.Fprintf(out, "%s: %s\n", g, v)
		}
	}
}

// printErrors prints the first errors of each outcome state.
func printErrors(out io.Writer, all []result) {
	for _, s := range []outcomeState{pending, failed, unknown, refused} {
		shown := 0
		for i := range all {
			if all[i].state == s && shown < maxShownErrors {
				printError(out, &all[i], all[0].startedAt)
				shown++
			}
		}
	}
}

func printError(out io.Writer, request *result, start time.Time) {
	_, _ = fmt.Fprintf(out, "%s from %s (home %q) at %.1f s, %d sends, %s after %.1f s: %v\n", request.kind, request.region, request.home,
		request.startedAt.Sub(start).Seconds(), request.attempts, request.state, request.endedAt.Sub(request.startedAt).Seconds(), request.err)
}
