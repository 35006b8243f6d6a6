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

// every stands for all values of a flag.
const every = "all"

// Series sets up several trials, which run one after another.
type Series struct {
	Deployment string
	Cases      []Case
	Policies   []string
	Seed       uint64
	For        time.Duration
	// JSON writes one object a line instead of tables.
	JSON bool
	Out  io.Writer
	// Note takes what goes wrong, a line each.
	Note io.Writer
	// Log is that of Config.
	Log *zap.Logger
}

// ParseCases reads a list separated by commas, or "all".
func ParseCases(text string) ([]Case, error) { return parse("--case", text, Cases()) }

// ParsePolicies reads a list separated by commas, or "all".
func ParsePolicies(text string) ([]string, error) { return parse("--policy", text, Policies()) }

func parse[T ~string](flag, text string, allowed []T) ([]T, error) {
	if text == every {
		return allowed, nil
	}
	var out []T
	for part := range strings.SplitSeq(text, ",") {
		v := T(strings.TrimSpace(part))
		if err := oneOf(flag, v, allowed); err != nil {
			return nil, err
		}
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out, nil
}

// Run carries out the trials and prints their results, each as soon as it is there.
// A single trial prints its own table or object.
func (s *Series) Run(ctx context.Context) error {
	if err := s.check(); err != nil {
		return err
	}
	single := len(s.Cases)*len(s.Policies) == 1
	if !s.JSON && !single {
		s.header()
	}
	var all []Result
	for _, c := range s.Cases {
		for _, p := range s.Policies {
			r, err := Run(ctx, s.config(c, p))
			if err != nil {
				return err
			}
			all = append(all, r)
			s.print(&r, single)
		}
	}
	if !s.JSON && !single {
		printTargets(s.Out, all)
	}
	return nil
}

// check finds wrong settings before the first trial.
func (s *Series) check() error {
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

func (s *Series) config(c Case, policy string) Config {
	return Config{
		Deployment: s.Deployment, Case: c, Policy: policy, Seed: s.Seed, For: s.For, Log: s.Log,
		Violation: func(text string) { _, _ = fmt.Fprintf(s.Note, "%s %s: violation of %s\n", c, policy, text) },
	}
}

func (s *Series) print(r *Result, single bool) {
	switch {
	case s.JSON:
		e := json.NewEncoder(s.Out)
		e.SetEscapeHTML(false) // the names of links hold ">"
		_ = e.Encode(r)
	case single:
		printOne(s.Out, r)
	default:
		s.row(r)
	}
}

// columns are the heads and widths of the table of several trials.
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

// header begins a table: first the class above its columns, then their names.
func (s *Series) header() {
	cells := make([]any, len(columns))
	for i := range columns {
		cells[i] = ""
	}
	cells[3], cells[9] = stage.Short, stage.Long
	s.line(cells)
	for i, c := range columns {
		cells[i] = c.name
	}
	s.line(cells)
}

func (s *Series) line(cells []any) {
	var b strings.Builder
	for i, c := range columns {
		fmt.Fprintf(&b, "%*v ", c.width, cells[i])
	}
	_, _ = fmt.Fprintln(s.Out, strings.TrimRight(b.String(), " "))
}

func (s *Series) row(r *Result) {
	cells := []any{r.Case, r.Policy, r.Seed}
	for _, name := range []ident.Class{stage.Short, stage.Long} {
		c := r.Classes[name]
		cells = append(cells, c.Count, tenth(c.First.P50), tenth(c.First.P99), tenth(c.Wait.P50), tenth(c.Wait.P99), tenth(c.Between.P99))
	}
	cells = append(cells, round(r.Away, 3), round(r.Least, 3), round(r.Cost, 3), round(r.Floor, 3), round(ratio(r.Cost, r.Floor), 2))
	cells = append(cells, r.Retries, r.Refused, r.Unknown, r.Crashed, round(float64(r.Links.sum())/1e6, 1), r.Violations.sum())
	s.line(cells)
}

func tenth(ms float64) string { return fmt.Sprintf("%.1f", ms) }

// sum adds up all links.
func (l Links) sum() ident.Bytes {
	var n ident.Bytes
	for _, v := range l {
		n += v
	}
	return n
}

// sum adds up all guarantees.
func (v Violations) sum() int {
	n := 0
	for _, c := range v {
		n += c
	}
	return n
}

// ratio returns a/b, 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// printOne prints one trial for a person.
func printOne(out io.Writer, r *Result) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "%s, case %s, policy %s, seed %d; times in ms of the run\n\n", r.Deployment, r.Case, r.Policy, r.Seed)
	_, _ = fmt.Fprint(t, "class\tcompleted\tmeasure\tp50\tp95\tp99\t\n")
	for _, name := range []ident.Class{stage.Short, stage.Long} {
		c := r.Classes[name]
		for _, m := range []struct {
			name string
			Spread
		}{{"first", c.First}, {"wait", c.Wait}, {"between", c.Between}} {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t\n", name, c.Count, m.name, m.P50, m.P95, m.P99)
		}
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(out, "\nserved away   %.4f of the completed requests; capacity forces %.4f\n", r.Away, r.Least)
	_, _ = fmt.Fprintf(out, "cost          %.4f endpoint-seconds per completed request; least possible %.4f\n", r.Cost, r.Floor)
	_, _ = fmt.Fprintf(out, "retries %d, refused %d, unknown %d, endpoints crashed by requests %d\n", r.Retries, r.Refused, r.Unknown, r.Crashed)
	printLinks(out, r.Links)
	_, _ = fmt.Fprintf(out, "violations    %d\n", r.Violations.sum())
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
