package entry

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
)

func groupCatalog(t *testing.T) *fleet.Catalog {
	b, err := json.Marshal(testInventory())
	if err != nil {
		t.Fatal(err)
	}
	catalog := &fleet.Catalog{}
	if _, err := catalog.AcceptBytes(fleet.Inventory, "platform", b); err != nil {
		t.Fatal(err)
	}
	return catalog
}

func groupMembers() []member.Member {
	var list []member.Member
	for i := range ownerVMs {
		list = append(list, testMember(i))
	}
	return list
}

// Guards against entry VMs with the same members that assign different owners to a flow, because of the members that
// they had before or because of their order.
func TestEntryVMsAgreeOnOwners(t *testing.T) {
	is := is.New(t)
	catalog, members := groupCatalog(t), groupMembers()
	var fresh, changed groups
	fresh.update(catalog, members, 1, members[0].Name)
	changed.update(catalog, members[:4], 1, members[1].Name)
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		changed.ownerOfHash(1, random.Uint64())
	}
	slices.Reverse(members)
	changed.update(catalog, members, 2, members[1].Name)
	for range 10_000 {
		hash := random.Uint64()
		for _, s := range catalog.Services() {
			first, backup, _ := fresh.ownerOfHash(s.ID, hash)
			otherFirst, otherBackup, _ := changed.ownerOfHash(s.ID, hash)
			is.Equal(first.Name, otherFirst.Name)
			is.Equal(backup.Name, otherBackup.Name)
			is.True(first.Name != backup.Name)
		}
	}
}

// Guards against flows that move between remaining owners when another owner leaves, and against a new owner that is
// not the previous backup, which has the hints.
func TestLeavingOwnerMovesOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	catalog, members := groupCatalog(t), groupMembers()
	var before, after groups
	before.update(catalog, members, 1, "")
	after.update(catalog, slices.Delete(slices.Clone(members), 3, 4), 1, "")
	random := rand.New(rand.NewPCG(2, 2))
	for range 10_000 {
		hash := random.Uint64()
		first, backup, _ := before.ownerOfHash(1, hash)
		now, _, _ := after.ownerOfHash(1, hash)
		if first.Name == members[3].Name {
			is.Equal(now.Name, backup.Name)
		} else {
			is.Equal(now.Name, first.Name)
		}
	}
}

// Guards against shares of flows that do not follow the sizes of the entry VMs.
func TestOwnersFollowSizes(t *testing.T) {
	catalog, members := groupCatalog(t), groupMembers()
	var g groups
	g.update(catalog, members, 1, "")
	total := 0.0
	for _, m := range members {
		total += float64(m.Size)
	}
	count := map[string]float64{}
	for i := range uint64(1 << bucketBits) {
		first, _, _ := g.ownerOfHash(1, i<<(64-bucketBits))
		count[first.Name]++
	}
	for _, m := range members {
		got, want := count[m.Name]/(1<<bucketBits), float64(m.Size)/total
		if math.Abs(got/want-1) > 0.1 {
			t.Errorf("share of %s is %.4f, want %.4f with an error of at most 10%%", m.Name, got, want)
		}
	}
}

// Guards against flows without an owner or with a wrong one after a document adds a service or reduces the size of a
// group.
func TestGroupsFollowDocuments(t *testing.T) {
	is := is.New(t)
	catalog, members := groupCatalog(t), groupMembers()
	var g groups
	g.update(catalog, members, 1, members[0].Name)
	first, _, _ := g.ownerOfHash(1, 7)
	is.True(first != nil)
	d := testInventory()
	d.Version++
	d.Services[0].OwnerGroup = 1
	b, err := json.Marshal(d)
	is.NoErr(err)
	_, err = catalog.AcceptBytes(fleet.Inventory, "platform", b)
	is.NoErr(err)
	g.update(catalog, members, 1, members[0].Name)
	for i := range uint64(100) {
		only, backup, _ := g.ownerOfHash(1, i<<(64-bucketBits))
		is.Equal(only.Name, g.byService[1].members[0].Name)
		is.True(backup == nil)
	}
	if first, _, own := g.ownerOfHash(99, 7); first != nil || own {
		t.Error("an unknown service has an owner, want none")
	}
}
