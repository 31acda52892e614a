package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// demandDecay is the factor by which the counts of requests decrease in an evaluation period: a mean over about
	// 10 s, so that a peak of other routes does not reduce the part at once.
	demandDecay = 0.99
	// partFactor is the share of the servers that is kept, relative to the share of urgent requests in the demand. Servers
	// with a utilization of half have short queues.
	partFactor = 2
	// maxPart is the greatest share of the servers that is kept.
	maxPart = 0.6
	// maxUrgentShare is the share of urgent requests from which keeping servers has no effect.
	maxUrgentShare = 0.9
	// minUrgentRequests is the decayed number of urgent requests below which no servers are kept.
	minUrgentRequests = 0.5
	// keptPreference makes the servers of the part remain in it while others are only slightly faster.
	keptPreference = 0.3
)

// demand counts requests by urgency, decayed by age.
type demand struct {
	all, urgent float64
}

func (d *demand) record(urgent bool) {
	d.all++
	if urgent {
		d.urgent++
	}
}

func (d *demand) decay(periods float64) {
	old := math.Pow(demandDecay, periods)
	d.all *= old
	d.urgent *= old
}

// part returns the share of the servers to keep for urgent routes.
func (d *demand) part() float64 {
	share := d.urgent / max(d.all, 1)
	if d.urgent < minUrgentRequests || share > maxUrgentShare {
		return 0
	}
	return min(partFactor*share, maxPart)
}

// part orders the servers of a group, the first ones to keep first. Its slice is reused.
type part struct {
	ranks []rank
}

type rank struct {
	key float64
	l   *load
}

// choosePart keeps fast servers of each availability zone for urgent routes. Servers are ordered by their tokens and
// only large differences in speed, so that entry VMs choose nearly the same ones although they see other responses.
func (s *service) choosePart() {
	share := s.demand.part()
	for _, g := range s.groups {
		ranks := g.part.ranks[:0]
		for _, l := range g.members {
			if s.pickedAt-l.listedAt >= overloadWindow {
				l.kept = false
				continue
			}
			r := rank{key: speedFactor(l.recentTime()/g.responseTime) * (1 + hashFraction(partSeed, l.token)), l: l}
			if l.kept {
				r.key *= keptPreference
			}
			ranks = append(ranks, r)
		}
		if share > 0 {
			slices.SortFunc(ranks, func(a, b rank) int { return cmp.Compare(a.key, b.key) })
		}
		kept := int(math.Round(share * float64(len(ranks))))
		for i, r := range ranks {
			r.l.kept = i < kept
		}
		g.part.ranks = ranks
	}
}

// partSeed is the hash with which tokens are ordered.
const partSeed = 0x9e3779b97f4a7c15

// speedFactor returns the factor by which the speed of a server changes its order, from its response time relative to
// the mean of its group.
func speedFactor(relative float64) float64 {
	if relative > 0.4 && relative < 2.5 {
		return 1
	}
	return math.Cbrt(relative)
}
