package main

import (
	"cmp"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"

	"github.com/integrii/flaggy"
)

func main() {
	filter, parallel, verbose := "", 6, false
	flaggy.SetName("measure")
	flaggy.SetDescription("Prints figures of seeded scenarios in virtual time. Example: measure --scenario evening")
	flaggy.String(&filter, "s", "scenario", "run only scenarios whose name contains this")
	flaggy.Int(&parallel, "p", "parallel", "scenarios at once, at most 6")
	flaggy.Bool(&verbose, "v", "verbose", "print the causes of broken flows and the time of each run to standard error")
	flaggy.Parse()
	if measure(filter, min(max(parallel, 1), 6), verbose) > 0 {
		os.Exit(1)
	}
}

// measure runs the scenarios whose name contains filter, prints their figures and returns the number of safety
// violations.
func measure(filter string, parallel int, verbose bool) int {
	type job struct {
		scenario *scenario
		policy   *policy
		result   result
	}
	// With the default setting, garbage collection takes a tenth of the time. A run uses little memory, so collecting
	// less often is safe.
	debug.SetGCPercent(400)
	var jobs []*job
	for _, sc := range scenarios() {
		if !strings.Contains(sc.name, filter) {
			continue
		}
		for _, p := range sc.policies {
			jobs = append(jobs, &job{scenario: sc, policy: p})
		}
	}
	var wg sync.WaitGroup
	next := make(chan *job)
	for range parallel {
		wg.Go(func() {
			for j := range next {
				j.result = execute(j.scenario, j.policy)
			}
		})
	}
	// The longest runs start first, so that all workers finish at about the same time.
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(a, b *job) int { return cmp.Compare(b.scenario.cost(), a.scenario.cost()) })
	for _, j := range order {
		next <- j
	}
	close(next)
	wg.Wait()

	violations := 0
	var total score
	for i := 0; i < len(jobs); {
		sc, results := jobs[i].scenario, map[*policy]result{}
		first := i
		for ; i < len(jobs) && jobs[i].scenario == sc; i++ {
			results[jobs[i].policy] = jobs[i].result
		}
		for _, j := range jobs[first:i] {
			fmt.Println(formatLine(sc, j.policy, results, &total))
			if j.policy.safe {
				violations += len(j.result.violations)
				for _, v := range j.result.violations {
					fmt.Fprintf(os.Stderr, "scenario=%s policy=%s violation=%q\n", sc.name, j.policy.name, v)
				}
			}
			if verbose {
				for _, d := range j.result.details[:min(len(j.result.details), 20)] {
					fmt.Fprintf(os.Stderr, "scenario=%s policy=%s broken=%q\n", sc.name, j.policy.name, d)
				}
				fmt.Fprintf(os.Stderr, "scenario=%s policy=%s elapsed=%.1fs causes=%v p99=%v refused=%v\n", sc.name,
					j.policy.name, j.result.elapsed.Seconds(), j.result.causes, j.result.p99, j.result.refusedShare)
			}
		}
	}
	fmt.Printf("%d met, %d missed\n", total.met, total.missed)
	return violations
}
