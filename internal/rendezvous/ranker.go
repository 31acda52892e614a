package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSelected is the number of wanted names up to which selecting them one by one is cheaper than sorting all.
const maxSelected = 4

// Ranker ranks the names that were added since Reset; it keeps its memory, so that ranking does not allocate once it
// has seen the greatest number of names. The zero value is ready for use.
type Ranker struct {
	flow       uint64
	candidates []candidate
	order      []int
}

type candidate struct {
	score float64
	hash  uint64
	index int
}

// Hash returns the hash of a name that Add takes.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Reset starts a new ranking for the hash of a flow.
func (r *Ranker) Reset(flow uint64) {
	r.flow = flow
	r.candidates = r.candidates[:0]
}

// Add adds the name with the given hash. A name whose weight is not a positive number ranks after all others.
func (r *Ranker) Add(name uint64, weight float64) {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], r.flow)
	binary.LittleEndian.PutUint64(b[8:], name)
	hash := xxhash.Sum64(b[:])
	r.candidates = append(r.candidates, candidate{score: Score(hash, weight), hash: hash, index: len(r.candidates)})
}

// First returns the positions, in the order of Add, of the first n names of the rank; the slice is valid until the
// next call.
func (r *Ranker) First(n int) []int {
	n = max(0, min(n, len(r.candidates)))
	if n <= maxSelected {
		for i := range n {
			best := i
			for j := i + 1; j < len(r.candidates); j++ {
				if compare(r.candidates[j], r.candidates[best]) < 0 {
					best = j
				}
			}
			r.candidates[i], r.candidates[best] = r.candidates[best], r.candidates[i]
		}
	} else {
		slices.SortFunc(r.candidates, compare)
	}
	r.order = r.order[:0]
	for _, c := range r.candidates[:n] {
		r.order = append(r.order, c.index)
	}
	return r.order
}

// Score maps the hash of a name and a flow to -weight/ln(u) with u evenly spread between 0 and 1, both excluded. The
// greatest score is first, for a share of the flows that is proportional to the weight.
func Score(hash uint64, weight float64) float64 {
	if !(weight > 0) { // The negation also catches NaN.
		return 0
	}
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// compare breaks ties by the hash, so that the order of Add does not matter.
func compare(a, b candidate) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(b.hash, a.hash)
}
