package rendezvous

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSelected is the largest n for which First selects one name after the other. For so few this costs less than
// sorting all names.
const maxSelected = 4

// Ranker ranks the names that were added since Reset. It reuses its memory, so ranking does not allocate once the
// Ranker has held the largest number of names. The zero value is ready for use.
type Ranker struct {
	flow       uint64
	candidates []candidate
	order      []int // reused by First
}

type candidate struct {
	score float64
	hash  uint64 // of the flow's hash and the name's hash
	index int    // position in the order of Add
}

// Hash returns the hash of a name for use with Add.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Reset starts a new ranking for the hash of a flow or any other number.
func (r *Ranker) Reset(flow uint64) {
	r.flow = flow
	r.candidates = r.candidates[:0]
}

// Add adds a name by its hash. A name whose weight is not a positive number ranks after all others.
func (r *Ranker) Add(name uint64, weight float64) {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], r.flow)
	binary.LittleEndian.PutUint64(b[8:], name)
	hash := xxhash.Sum64(b[:])
	r.candidates = append(r.candidates, candidate{score: Score(hash, weight), hash: hash, index: len(r.candidates)})
}

// First returns the n first-ranked names, or all when there are fewer. Each is an index into the names in the order of
// Add. The slice is valid until the next call of First.
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

// Score maps the hash of a name and a flow to -weight/ln(u), where u is uniformly distributed between 0 and 1, both
// excluded. The name with the greatest score ranks first, which makes each name first for a share of the flows that is
// proportional to its weight. A weight that is not a positive number scores 0.
func Score(hash uint64, weight float64) float64 {
	if !(weight > 0) { // The negation also catches NaN.
		return 0
	}
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// compare orders candidates by descending score. It breaks ties by the hash, so that the order of Add does not matter.
func compare(a, b candidate) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(b.hash, a.hash)
}
