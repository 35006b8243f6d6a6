package burn

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Table writes the report for people: the burn rates, then the times, then the
// requests that count neither as good nor as bad, and the entries that are missing.
func (r Report) Table(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row(t, "SERVICE", "CLASS", "REGION", "OBJECTIVE", "TARGET", "GOOD", "BAD", "BURN 5m", "BURN 1h", "LEFT", "USED UP IN")
	for _, s := range r.Series {
		for _, b := range s.Burns {
			row(
				t, string(s.Service), string(s.Class), string(s.Region), string(b.Objective), target(b.Target),
				count(b.Long.Good), count(b.Long.Bad), rate(b.ShortRate), rate(b.LongRate), percent(b.Left), exhaustion(b),
			)
		}
	}
	row(t)
	row(t, "SERVICE", "CLASS", "REGION", "TIME", "COUNT", "MEAN", "P50", "P95", "P99")
	for _, s := range r.Series {
		for _, b := range []struct {
			name string
			Buckets
		}{{"first", s.First}, {"between", s.Between}, {"wait", s.Wait}} {
			row(
				t, string(s.Service), string(s.Class), string(s.Region), b.name, count(b.Count()),
				ms(b.Mean()), ms(b.Percentile(0.5)), ms(b.Percentile(0.95)), ms(b.Percentile(0.99)),
			)
		}
	}
	row(t)
	row(t, "SERVICE", "CLASS", "REGION", "UNKNOWN", "CALLER GONE")
	for _, s := range r.Series {
		row(t, string(s.Service), string(s.Class), string(s.Region), count(s.Unknown), count(s.Gone))
	}
	row(t)
	r.coverage(t)
	return t.Flush()
}

// coverage says which entries the report is about.
func (r Report) coverage(t io.Writer) {
	names := make([]string, 0, len(r.Entries))
	for _, e := range r.Entries {
		names = append(names, string(e))
	}
	row(t, "entries: "+strings.Join(names, ", "))
	for _, m := range r.Missing {
		row(t, "missing: "+m.Entry+" ("+m.Cause+")")
	}
}

// row writes one line. An error of the writer comes back from Flush.
func row(t io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
}

func count(n int64) string { return strconv.FormatInt(n, 10) }

func rate(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) + "ms" }

func target(s clock.Span) string {
	if s == 0 {
		return "-"
	}
	return s.String()
}

func exhaustion(b Burn) string {
	switch {
	case b.Exhaustion == Never:
		return "-"
	case b.Exhaustion <= 0:
		return "used up"
	case b.Exhaustion < clock.Minute:
		return "<1m"
	default:
		return strconv.FormatInt(int64(b.Exhaustion/clock.Minute), 10) + "m"
	}
}
