package burn

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// WriteTable writes the report as a table: the burn rates, the times, the requests that count
// neither as good nor as bad, and the missing entries. It returns the error of out.
func (r Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow(table, "SERVICE", "CLASS", "REGION", "OBJECTIVE", "TARGET", "GOOD", "BAD", "BURN 5m", "BURN 1h", "LEFT", "USED UP IN")
	for _, s := range r.Series {
		for _, b := range s.Burns {
			writeRow(
				table, string(s.Service), string(s.Class), string(s.Region), string(b.Objective), formatTarget(b.Target),
				formatCount(b.Long.Good), formatCount(b.Long.Bad), formatRate(b.ShortRate), formatRate(b.LongRate), formatPercent(b.BudgetLeft), formatExhaustion(b),
			)
		}
	}
	writeRow(table)
	writeRow(table, "SERVICE", "CLASS", "REGION", "TIME", "COUNT", "MEAN", "P50", "P95", "P99")
	for _, s := range r.Series {
		for _, b := range []struct {
			name string
			Buckets
		}{{"first", s.First}, {"between", s.Between}, {"wait", s.Wait}} {
			writeRow(
				table, string(s.Service), string(s.Class), string(s.Region), b.name, formatCount(b.Count()),
				formatMS(b.Mean()), formatMS(b.Percentile(0.5)), formatMS(b.Percentile(0.95)), formatMS(b.Percentile(0.99)),
			)
		}
	}
	writeRow(table)
	writeRow(table, "SERVICE", "CLASS", "REGION", "UNKNOWN", "CALLER GONE")
	for _, s := range r.Series {
		writeRow(table, string(s.Service), string(s.Class), string(s.Region), formatCount(s.UnknownOutcomes), formatCount(s.CallerDisconnected))
	}
	writeRow(table)
	r.writeCoverage(table)
	return table.Flush()
}

// writeCoverage lists the entries that the report covers and those that are missing.
func (r Report) writeCoverage(table io.Writer) {
	names := make([]string, 0, len(r.Entries))
	for _, e := range r.Entries {
		names = append(names, string(e))
	}
	writeRow(table, "entries: "+strings.Join(names, ", "))
	for _, m := range r.Missing {
		writeRow(table, "missing: "+m.Entry+" ("+m.Cause+")")
	}
}

// writeRow writes one line. Flush returns the error of the underlying writer.
func writeRow(table io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}

func formatCount(value int64) string { return strconv.FormatInt(value, 10) }

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', 2, 64) }

func formatPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

func formatMS(value float64) string { return strconv.FormatFloat(value, 'f', 0, 64) + "ms" }

func formatTarget(span clock.Span) string {
	if span == 0 {
		return "-"
	}
	return span.String()
}

func formatExhaustion(burn ObjectiveBurn) string {
	switch {
	case burn.Exhaustion == Never:
		return "-"
	case burn.Exhaustion <= 0:
		return "used up"
	case burn.Exhaustion < clock.Minute:
		return "<1m"
	default:
		return strconv.FormatInt(int64(burn.Exhaustion/clock.Minute), 10) + "m"
	}
}
