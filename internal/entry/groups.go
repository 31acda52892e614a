package entry

import (
	"math"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

// groups keeps the owner group of each service: the entry VMs that own its flows.
type groups struct {
	byService map[uint32]*group
	own       []capacity.Assignment
	partners  []member.Member

	pictureGeneration uint64
	ownerGeneration   uint64
	known             bool
	changed           bool
	ranker            rendezvous.Ranker
}

type group struct {
	members []member.Member
	hashes  []uint64
	self    int // position of this entry VM, -1 when it is not in the group
}

// update recomputes the groups when the documents or the set of owners changed.
func (g *groups) update(p *fleet.Picture, owners []member.Member, generation uint64, self string) {
	if g.known && g.pictureGeneration == p.Generation() && g.ownerGeneration == generation {
		return
	}
	g.known, g.changed = true, true
	g.pictureGeneration, g.ownerGeneration = p.Generation(), generation
	g.byService = make(map[uint32]*group, len(p.Services()))
	g.own = g.own[:0]
	partners := map[string]member.Member{}
	for _, s := range p.Services() {
		c := g.build(s, owners, self)
		g.byService[s.ID] = c
		if c.self < 0 {
			continue
		}
		a := capacity.Assignment{Service: s}
		for _, m := range c.members {
			a.Owners = append(a.Owners, capacity.Owner{Name: m.Name, Size: float64(m.Size)})
			if m.Name != self {
				partners[m.Name] = m
			}
		}
		g.own = append(g.own, a)
	}
	g.partners = g.partners[:0]
	for _, m := range owners {
		if _, ok := partners[m.Name]; ok {
			g.partners = append(g.partners, m)
		}
	}
}

// build ranks the owners for one service by their size.
func (g *groups) build(s *fleet.Service, owners []member.Member, self string) *group {
	g.ranker.Reset(rendezvous.Hash(s.Name))
	for _, m := range owners {
		g.ranker.Add(rendezvous.Hash(m.Name), float64(m.Size))
	}
	c := &group{self: -1}
	for _, i := range g.ranker.First(min(s.OwnerGroup, len(owners))) {
		if owners[i].Name == self {
			c.self = len(c.members)
		}
		c.members = append(c.members, owners[i])
		c.hashes = append(c.hashes, rendezvous.Hash(owners[i].Name))
	}
	return c
}

// takeChange reports whether the groups changed since the last call.
func (g *groups) takeChange() bool {
	changed := g.changed
	g.changed = false
	return changed
}

func (g *groups) assignments() []capacity.Assignment { return g.own }

// owner returns the owner of a flow and the backup, nil when there is none; ownSelf says that it is this entry VM.
func (g *groups) owner(service uint32, k *packet.Key) (first, backup *member.Member, ownSelf bool) {
	c := g.byService[service]
	if c == nil || len(c.members) == 0 {
		return nil, nil, false
	}
	// The rank of the flow's hash among owners must be independent of its rank among hosts.
	g.ranker.Reset(k.Hash() ^ ownerSalt)
	for i := range c.members {
		g.ranker.Add(c.hashes[i], math.Max(1, float64(c.members[i].Size)))
	}
	rank := g.ranker.First(2)
	if len(rank) > 1 {
		backup = &c.members[rank[1]]
	}
	return &c.members[rank[0]], backup, rank[0] == c.self
}

const ownerSalt = 0x6d61737469637370
