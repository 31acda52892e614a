package rendezvous

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

func rank(r *Ranker, flow uint64, names []string, weights []float64, n int) []string {
	r.Reset(flow)
	for i, name := range names {
		r.Add(Hash(name), weights[i])
	}
	var out []string
	for _, i := range r.First(n) {
		out = append(out, names[i])
	}
	return out
}

func flowHash(i int) uint64 {
	return xxhash.Sum64String(fmt.Sprint("flow", i))
}

// Guards against flows that are not distributed in proportion to the weights.
func TestFirstFollowsWeights(t *testing.T) {
	names, weights := []string{"a", "b", "c"}, []float64{1, 2, 5}
	var r Ranker
	count := map[string]float64{}
	const flows = 40000
	for i := range flows {
		count[rank(&r, flowHash(i), names, weights, 1)[0]]++
	}
	for i, name := range names {
		if got, want := count[name]/flows, weights[i]/8; math.Abs(got-want) > 0.01 {
			t.Errorf("share of %s is %.3f, want %.3f with an error of at most 0.01", name, got, want)
		}
	}
}

// Guards against the removal of one name that moves flows between the other names.
func TestRemovalKeepsOrderOfOthers(t *testing.T) {
	is := is.New(t)
	var r Ranker
	for i := range 200 {
		all := rank(&r, flowHash(i), []string{"a", "b", "c", "d", "e", "f"}, []float64{1, 2, 3, 4, 5, 6}, 6)
		var want []string
		for _, name := range all {
			if name != "c" {
				want = append(want, name)
			}
		}
		is.Equal(rank(&r, flowHash(i), []string{"f", "e", "d", "b", "a"}, []float64{6, 5, 4, 2, 1}, 5), want)
		is.Equal(rank(&r, flowHash(i), []string{"a", "b", "d", "e", "f"}, []float64{1, 2, 4, 5, 6}, 2), want[:2])
	}
}

// Guards against names with unusable weights that are left out or rank before names with usable weights.
func TestUnusableWeightRanksLast(t *testing.T) {
	is := is.New(t)
	var r Ranker
	for i := range 100 {
		got := rank(&r, flowHash(i), []string{"nan", "zero", "good"}, []float64{math.NaN(), 0, 1e-9}, 9)
		is.Equal(len(got), 3)
		is.Equal(got[0], "good")
	}
	is.Equal(len(rank(&r, 1, nil, nil, 2)), 0)
}

// Guards against allocations for each new flow.
func TestRankingDoesNotAllocate(t *testing.T) {
	var r Ranker
	run := func() {
		r.Reset(1)
		for i := range 14 {
			r.Add(uint64(i), 1)
		}
		r.First(2)
		r.First(14)
	}
	run()
	if n := testing.AllocsPerRun(100, run); n != 0 {
		t.Errorf("ranking allocates %v times, want 0", n)
	}
}

func BenchmarkFirstTwoOf14(b *testing.B) {
	var r Ranker
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(1)
		for i := range 14 {
			r.Add(uint64(i), 1)
		}
		r.First(2)
	}
}
