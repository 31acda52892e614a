package entry

import (
	"math"
	"slices"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

// groups holds the owner group of each service: the entry VMs that own its flows.
type groups struct {
	byService map[uint32]*group
	owned     []capacity.Assignment
	peers     []member.Member // other members of the owned groups, which receive the capacity reports

	catalogGeneration uint64
	ownerGeneration   uint64
	initialized       bool
	changed           bool
	ranker            rendezvous.Ranker
}

// bucketBits gives 16,384 buckets for each service. With 8 owners of equal size, the share of an owner then differs
// from its exact share by 2% (standard deviation), at 32 KB for each service. Fewer buckets are less even: 1,024 give
// 8%.
const bucketBits = 14

// serviceClasses is the number of different owner groups. Services of one class share their group, which bounds the
// number of members that an entry VM exchanges reports with: 20 instead of 141 with 500 entry VMs and 1,100 services.
// The number of classes must not depend on the number of members, or a join would move the flows of all services.
const serviceClasses = 64

type group struct {
	members []member.Member
	hashes  []uint64 // hashes of the names of the members
	self    int      // index of this entry VM in members, -1 when it is not in the group
	seed    uint64   // differs between services, so that uneven shares of buckets cancel out over the services
	buckets []bucket
}

// bucket holds the positions of the owner and of the backup for all flows whose hash begins with the number of the
// bucket. The buckets are a cache, because ranking the group would otherwise take half of the processing time of each
// packet. A bucket is filled at its first use. Filling all buckets of 367 services after a change of the members would
// hold the lock of the engine for over a second.
type bucket struct {
	owner, backup uint8 // index in members plus one; zero means not ranked yet, or that there is no backup
}

// update recomputes the groups if the documents or the set of owners have changed.
func (g *groups) update(catalog *fleet.Catalog, owners []member.Member, generation uint64, self string) {
	if g.initialized && g.catalogGeneration == catalog.Generation() && g.ownerGeneration == generation {
		return
	}
	g.initialized, g.changed = true, true
	g.catalogGeneration, g.ownerGeneration = catalog.Generation(), generation
	previous := g.byService
	g.byService = make(map[uint32]*group, len(catalog.Services()))
	g.owned = g.owned[:0]
	peers := map[string]member.Member{}
	for _, s := range catalog.Services() {
		gr := g.build(s, owners, self)
		if old := previous[s.ID]; old != nil && slices.EqualFunc(old.members, gr.members, sameRank) {
			gr.buckets = old.buckets // Most changes of the documents leave the members as they are.
		}
		g.byService[s.ID] = gr
		if gr.self < 0 {
			continue
		}
		a := capacity.Assignment{Service: s}
		for _, m := range gr.members {
			a.Owners = append(a.Owners, capacity.Owner{Name: m.Name, Size: float64(m.Size)})
			if m.Name != self {
				peers[m.Name] = m
			}
		}
		g.owned = append(g.owned, a)
	}
	g.peers = g.peers[:0]
	for _, m := range owners {
		if _, ok := peers[m.Name]; ok {
			g.peers = append(g.peers, m)
		}
	}
}

// build selects the owner group of a service by weighted rendezvous hashing over the sizes of the owners.
func (g *groups) build(s *fleet.Service, owners []member.Member, self string) *group {
	g.ranker.Reset(rendezvous.Hash(s.Name) % serviceClasses)
	for _, m := range owners {
		g.ranker.Add(rendezvous.Hash(m.Name), float64(m.Size))
	}
	gr := &group{self: -1, seed: rendezvous.Hash(s.Name) ^ ownerSalt}
	for _, i := range g.ranker.First(min(s.OwnerGroup, len(owners))) {
		if owners[i].Name == self {
			gr.self = len(gr.members)
		}
		gr.members = append(gr.members, owners[i])
		gr.hashes = append(gr.hashes, rendezvous.Hash(owners[i].Name))
	}
	return gr
}

// sameRank reports whether a and b are equal in all that the rank of a member depends on.
func sameRank(a, b member.Member) bool { return a.Name == b.Name && a.Size == b.Size }

// takeChange reports whether the groups changed since the last call.
func (g *groups) takeChange() bool {
	changed := g.changed
	g.changed = false
	return changed
}

func (g *groups) assignments() []capacity.Assignment { return g.owned }

// owner returns the owner and the backup of a flow, nil when there is none. own reports whether this entry VM is the
// owner.
func (g *groups) owner(service uint32, k *packet.Key) (owner, backup *member.Member, own bool) {
	return g.ownerOfHash(service, k.Hash())
}

// ownerOfHash is owner for the hash of a flow's key.
func (g *groups) ownerOfHash(service uint32, hash uint64) (owner, backup *member.Member, own bool) {
	gr := g.byService[service]
	if gr == nil || len(gr.members) == 0 {
		return nil, nil, false
	}
	if gr.buckets == nil {
		gr.buckets = make([]bucket, 1<<bucketBits)
	}
	b := &gr.buckets[hash>>(64-bucketBits)]
	if b.owner == 0 {
		*b = g.rank(gr, hash>>(64-bucketBits))
	}
	if b.backup != 0 {
		backup = &gr.members[b.backup-1]
	}
	return &gr.members[b.owner-1], backup, int(b.owner-1) == gr.self
}

// rank returns the owner and the backup of a bucket. All entry VMs with the same members get the same result.
func (g *groups) rank(gr *group, number uint64) bucket {
	// The rank among owners must be independent of the rank of the same flows among hosts.
	g.ranker.Reset(number ^ gr.seed)
	for i := range gr.members {
		g.ranker.Add(gr.hashes[i], math.Max(1, float64(gr.members[i].Size)))
	}
	rank := g.ranker.First(2)
	b := bucket{owner: uint8(rank[0] + 1)}
	if len(rank) > 1 {
		b.backup = uint8(rank[1] + 1)
	}
	return b
}

// ownerSalt makes the rank of a flow among owners independent of its rank among hosts.
const ownerSalt = 0x6d61737469637370
