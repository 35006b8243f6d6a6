package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// allValues selects all values of a flag.
const allValues = "all"

// Series configures several trials, which run sequentially.
type Series struct {
	Deployment string
	Cases      []Case
	Policies   []string
	Seed       uint64
	Duration   time.Duration
	// JSON selects one JSON object per line instead of tables.
	JSON bool
	Out  io.Writer
	// Warnings receives one line for each violation.
	Warnings io.Writer
	// Log is passed to each trial; see Config.Log.
	Log *zap.Logger
}

// ParseCases parses a comma-separated list of cases, or "all". It returns an *Error of
// KindInvalid that names the flag --case.
func ParseCases(text string) ([]Case, error) { return parse("--case", text, Cases()) }

// ParsePolicies parses a comma-separated list of policies, or "all". It returns an
// *Error of KindInvalid that names the flag --policy.
func ParsePolicies(text string) ([]string, error) { return parse("--policy", text, Policies()) }

func parse[T ~string](flag, text string, allowed []T) ([]T, error) {
	if text == allValues {
		return allowed, nil
	}
	var out []T
	for part := range strings.SplitSeq(text, ",") {
		value := T(strings.TrimSpace(part))
		if err := oneOf(flag, value, allowed); err != nil {
			return nil, err
		}
		if !slices.Contains(out, value) {
			out = append(out, value)
		}
	}
	return out, nil
}

// Run runs the trials and prints each result as soon as it is available. A single trial
// is printed as a report instead of a table row. Run stops at the first error.
func (s *Series) Run(ctx context.Context) error {
	if err := s.checkSettings(); err != nil {
		return err
	}
	single := len(s.Cases)*len(s.Policies) == 1
	if !s.JSON && !single {
		s.printHeader()
	}
	var all []Result
	for _, c := range s.Cases {
		for _, p := range s.Policies {
			result, err := Run(ctx, s.config(c, p))
			if err != nil {
				return err
			}
			all = append(all, result)
			s.printResult(&result, single)
		}
	}
	if !s.JSON && !single {
		printTargets(s.Out, all)
	}
	return nil
}

// checkSettings validates the settings of all trials before the first one runs.
func (s *Series) checkSettings() error {
	for _, c := range s.Cases {
		for _, p := range s.Policies {
			cfg := s.config(c, p)
			if err := cfg.Check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Series) config(scenario Case, policy string) Config {
	return Config{
		Deployment: s.Deployment, Case: scenario, Policy: policy, Seed: s.Seed, Duration: s.Duration, Log: s.Log,
		OnViolation: func(text string) { _, _ = fmt.Fprintf(s.Warnings, "%s %s: violated %s\n", scenario, policy, text) },
	}
}

func (s *Series) printResult(result *Result, single bool) {
	switch {
	case s.JSON:
		encoder := json.NewEncoder(s.Out)
		encoder.SetEscapeHTML(false) // link names contain ">"
		_ = encoder.Encode(result)
	case single:
		printOne(s.Out, result)
	default:
		s.printRow(result)
	}
}

// columns has the names and widths of the columns in the table of several trials.
var columns = []struct {
	name  string
	width int
}{
	{"case", 8},
	{"policy", 8},
	{"seed", 4},
	{"n", 5},
	{"first50", 8},
	{"first99", 8},
	{"wait50", 7},
	{"wait99", 7},
	{"btw99", 6},
	{"n", 5},
	{"first50", 8},
	{"first99", 8},
	{"wait50", 7},
	{"wait99", 7},
	{"btw99", 6},
	{"away", 6},
	{"least", 6},
	{"cost", 6},
	{"floor", 6},
	{"ratio", 5},
	{"retry", 5},
	{"refus", 5},
	{"unkn", 4},
	{"crash", 5},
	{"linkMB", 6},
	{"viol", 4},
}

// printHeader prints two lines: the class names above their columns, and the column names.
func (s *Series) printHeader() {
	cells := make([]any, len(columns))
	for i := range columns {
		cells[i] = ""
	}
	// The columns of each class begin with its count.
	cells[3], cells[9] = stage.ClassShort, stage.ClassLong
	s.printLine(cells)
	for i, c := range columns {
		cells[i] = c.name
	}
	s.printLine(cells)
}

func (s *Series) printLine(cells []any) {
	var text strings.Builder
	for i, c := range columns {
		fmt.Fprintf(&text, "%*v ", c.width, cells[i])
	}
	_, _ = fmt.Fprintln(s.Out, strings.TrimRight(text.String(), " "))
}

func (s *Series) printRow(result *Result) {
	cells := []any{result.Case, result.Policy, result.Seed}
	for _, name := range []ident.Class{stage.ClassShort, stage.ClassLong} {
		class := result.Classes[name]
		cells = append(cells, class.Count, oneDecimal(class.FirstToken.P50), oneDecimal(class.FirstToken.P99), oneDecimal(class.SlotWait.P50), oneDecimal(class.SlotWait.P99), oneDecimal(class.TokenInterval.P99))
	}
	cells = append(cells, round(result.RemoteShare, 3), round(result.MinRemoteShare, 3), round(result.MeanCost, 3), round(result.MinCost, 3), round(ratio(result.MeanCost, result.MinCost), 2))
	cells = append(cells, result.Retries, result.Refused, result.Unknown, result.Crashed, round(float64(result.Links.sum())/1e6, 1), result.Violations.sum())
	s.printLine(cells)
}

func oneDecimal(ms float64) string { return fmt.Sprintf("%.1f", ms) }

// sum returns the total of all links.
func (l Links) sum() ident.Bytes {
	var total ident.Bytes
	for _, v := range l {
		total += v
	}
	return total
}

// sum returns the total of all guarantees.
func (v Violations) sum() int {
	total := 0
	for _, c := range v {
		total += c
	}
	return total
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// printOne prints a readable report of one trial.
func printOne(out io.Writer, result *Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "%s, case %s, policy %s, seed %d; times in ms after compression\n\n", result.Deployment, result.Case, result.Policy, result.Seed)
	_, _ = fmt.Fprint(table, "class\tcompleted\tmeasure\tp50\tp95\tp99\t\n")
	for _, name := range []ident.Class{stage.ClassShort, stage.ClassLong} {
		class := result.Classes[name]
		for _, m := range []struct {
			name string
			Percentiles
		}{{"first", class.FirstToken}, {"wait", class.SlotWait}, {"between", class.TokenInterval}} {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t\n", name, class.Count, m.name, m.P50, m.P95, m.P99)
		}
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(out, "\nother region  %.4f of the completed requests; lower bound by capacity %.4f\n", result.RemoteShare, result.MinRemoteShare)
	_, _ = fmt.Fprintf(out, "cost          %.4f endpoint-seconds per completed request; lower bound %.4f\n", result.MeanCost, result.MinCost)
	_, _ = fmt.Fprintf(out, "retries %d, refused %d, unknown %d, endpoints crashed by requests %d\n", result.Retries, result.Refused, result.Unknown, result.Crashed)
	printLinks(out, result.Links)
	_, _ = fmt.Fprintf(out, "violations    %d\n", result.Violations.sum())
}

func printLinks(out io.Writer, links Links) {
	names := make([]string, 0, len(links))
	for name := range links {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(out, "link %s  %.2f MB\n", name, float64(links[name])/1e6)
	}
}
