package main

import (
	"fmt"
	"strings"
)

// Targets of the design. They must not be adjusted to the measured figures.
const (
	targetImbalance   = 1.15 // maximum, over all hosts, of the share of the work divided by the share of the capacity
	targetExcess      = 0.5  // amount by which the imbalance exceeds 1, relative to that of the better baseline
	targetFirstAnswer = 1.3  // times the first-answer time of the better policy that uses the true capacities
	targetSettle      = 10.0 // seconds from a change of speed until the weight has converged
	targetControl     = 4096 // bytes/s for each entry VM
	targetInForce     = 6.0  // seconds from publication until the rules are active on all entry VMs
	targetLastNewFlow = 3.0  // seconds from publication until a leaving server receives its last new flow
)

// score counts the figures with a target by whether they meet it.
type score struct {
	met, missed int
}

// figures collects the key=value pairs of a line of output, and the score of the run.
type figures struct {
	pairs []string
	score *score
}

// add appends a figure.
func (f *figures) add(key, format string, value any) {
	f.pairs = append(f.pairs, key+"="+fmt.Sprintf(format, value))
}

// addVerdict appends whether a figure meets its target, and counts it in the score.
func (f *figures) addVerdict(key string, met bool) {
	verdict := "met"
	if met {
		f.score.met++
	} else {
		verdict = "missed"
		f.score.missed++
	}
	f.pairs = append(f.pairs, key+"-target="+verdict)
}

// formatLine formats the figures of one run and adds its score to total. Only masticspar has targets; the runs of the
// other policies in results are the references.
func formatLine(sc *scenario, p *policy, results map[*policy]result, total *score) string {
	r, own := results[p], score{}
	f := &figures{score: &own}
	judged := p == masticspar
	worst := 0.0
	for _, ms := range r.p99 {
		worst = max(worst, ms)
	}
	f.add("scenario", "%s", sc.name)
	f.add("policy", "%s", p.name)
	f.add("broken-flows", "%d", r.broken)
	f.add("open-flows", "%d", r.open)
	f.add("imbalance", "%.3f", r.imbalance)
	f.add("first-answer-p99-ms", "%.1f", worst)
	f.add("control-bytes-per-s", "%.0f", r.controlRate)
	f.add("flows", "%d", r.flows)
	f.add("refused-flows", "%d", r.refused)
	f.add("violations", "%d", len(r.violations))
	f.addOptional(sc, r)
	if judged {
		f.addVerdicts(sc, r, results)
		verdict := "met"
		if own.missed > 0 {
			verdict = "missed"
		}
		if own.met+own.missed > 0 {
			f.pairs = append(f.pairs, "target="+verdict)
		}
	}
	total.met, total.missed = total.met+own.met, total.missed+own.missed
	return strings.Join(f.pairs, " ")
}

// addOptional appends the figures that only some scenarios have.
func (f *figures) addOptional(sc *scenario, r result) {
	if sc.hostFails {
		f.add("dead-host-flows", "%d", r.deadHost)
	}
	if sc.cut {
		f.add("unreachable-flows", "%d", r.unreachable)
	}
	if r.settle >= 0 || sc.settles {
		f.add("settle-seconds", "%.0f", r.settle)
		f.add("swing", "%.2f", r.swing)
	}
	if r.inForce >= 0 {
		f.add("in-force-seconds", "%.1f", r.inForce)
	}
	if r.lastNew >= 0 {
		f.add("last-new-flow-seconds", "%.1f", r.lastNew)
	}
	if sc.hotService != "" {
		for _, v := range sc.site(sc.seed).Services {
			f.add("refused-share-"+v.Name, "%.3f", r.refusedShare[v.Name])
		}
	}
}

// addVerdicts appends the verdicts on the targets of the scenario.
func (f *figures) addVerdicts(sc *scenario, r result, results map[*policy]result) {
	if sc.judgeBroken {
		f.addVerdict("broken-flows", r.broken == 0)
	}
	if sc.judgeBalance {
		better := min(results[hash].imbalance, results[leastFlows].imbalance)
		f.addVerdict("imbalance", r.imbalance <= targetImbalance)
		f.addVerdict("excess", r.imbalance-1 <= targetExcess*(better-1))
		ratio, idealRatio := 0.0, 0.0
		for name, ms := range r.p99 {
			ratio = max(ratio, ms/min(results[ideal].p99[name], results[idealShortest].p99[name]))
			idealRatio = max(idealRatio, ms/results[ideal].p99[name])
		}
		f.add("first-answer-ratio", "%.2f", ratio)
		f.add("first-answer-ratio-to-ideal", "%.2f", idealRatio)
		f.addVerdict("first-answer", ratio <= targetFirstAnswer)
	}
	if sc.settles {
		f.addVerdict("settle", r.settle >= 0 && r.settle <= targetSettle)
	}
	if sc.judgeUpdate {
		f.addVerdict("in-force", r.inForce >= 0 && r.inForce <= targetInForce)
	}
	if r.lastNew >= 0 {
		f.addVerdict("last-new-flow", r.lastNew <= targetLastNewFlow)
	}
	f.addVerdict("control-bytes", r.controlRate <= targetControl)
}
