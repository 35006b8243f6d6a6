package trial

import (
	"fmt"
	"io"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Performance targets of the design document, as maximum ratios.
const (
	targetSlotWait    = 0.25 // p99 slot wait of short requests, against policy single
	targetSlowed      = 1.3  // p99 time to first token in CaseSlowed, against CaseSteady
	targetRoundRobin  = 0.5  // p99 time to first token in CaseSlowed, against policy robin
	targetRemoteShare = 1.2  // remote share in CasePeak, against its lower bound
	targetCost        = 1.05 // cost in CaseSteady and CasePeak, against its lower bound
	targetFaultCost   = 1.15 // cost in the other cases, against its lower bound
)

// target is one measured ratio, value/baseline, and its bound.
type target struct {
	name  string
	value float64
	bound float64
	// baseline is 0 if there is no figure to compare with.
	baseline float64
}

// targets returns the targets for which the results have both figures.
func targets(all []Result) []target {
	find := func(scenario Case, policy string) *Result {
		for i := range all {
			if all[i].Case == scenario && all[i].Policy == policy {
				return &all[i]
			}
		}
		return nil
	}
	var out []target
	for _, c := range Cases() {
		tanager := find(c, route.Tanager)
		if tanager == nil {
			continue
		}
		if singleQueue := find(c, route.SingleQueue); singleQueue != nil {
			out = append(out, newTarget(fmt.Sprintf("%s: p99 wait of short requests against a single queue", c),
				tanager.Classes[stage.ClassShort].SlotWait.P99, singleQueue.Classes[stage.ClassShort].SlotWait.P99, targetSlotWait))
		}
		bound := targetFaultCost
		if c == CaseSteady || c == CasePeak {
			bound = targetCost
		}
		out = append(out, newTarget(fmt.Sprintf("%s: cost against the lower bound", c), tanager.MeanCost, tanager.MinCost, bound))
	}
	if peak := find(CasePeak, route.Tanager); peak != nil {
		out = append(out, newTarget("peak: share served in other regions against the lower bound by capacity", peak.RemoteShare, peak.MinRemoteShare, targetRemoteShare))
	}
	slowed := find(CaseSlowed, route.Tanager)
	if slowed == nil {
		return out
	}
	for _, c := range []ident.Class{stage.ClassShort, stage.ClassLong} {
		p99 := slowed.Classes[c].FirstToken.P99
		if steady := find(CaseSteady, route.Tanager); steady != nil {
			out = append(out, newTarget(fmt.Sprintf("slowed: p99 time to first token of %s requests against steady", c), p99, steady.Classes[c].FirstToken.P99, targetSlowed))
		}
		if roundRobin := find(CaseSlowed, route.RoundRobin); roundRobin != nil {
			out = append(out, newTarget(fmt.Sprintf("slowed: p99 time to first token of %s requests against robin", c), p99, roundRobin.Classes[c].FirstToken.P99, targetRoundRobin))
		}
	}
	return out
}

func newTarget(name string, value, base, bound float64) target {
	return target{name: name, value: value, baseline: base, bound: bound}
}

// met reports whether the ratio is at most its bound.
func (t target) met() bool { return t.value <= t.bound*t.baseline }

// printTargets prints the targets of policy tanager and whether the results meet them.
func printTargets(out io.Writer, all []Result) {
	found := targets(all)
	if len(found) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "\ntargets of policy %s\n", route.Tanager)
	for _, t := range found {
		verdict := "missed"
		if t.met() {
			verdict = "met"
		}
		_, _ = fmt.Fprintf(out, "%-6s %6.3f, at most %.2f: %s (%.4g of %.4g)\n", verdict, ratio(t.value, t.baseline), t.bound, t.name, t.value, t.baseline)
	}
}
