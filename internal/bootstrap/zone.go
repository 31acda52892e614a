package bootstrap

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// transferTime is how long a source counts as busy with a transfer.
	transferTime = 150 * time.Millisecond
	// sizePerTransfer is the size, in thousandths of a core, that allows a source one more transfer at a time.
	sizePerTransfer = 50
	// readerTimeout is the time after which another entry VM of the zone is selected to read the store.
	readerTimeout = 700 * time.Millisecond
	// starterRetention is how long a contact keeps the record of an entry VM after its last message.
	starterRetention = 5 * time.Second
	// maxZones and maxStarters bound the records of a contact.
	maxZones    = 64
	maxStarters = 1024
)

// zone is what a contact knows about the entry VMs of an availability zone that have started recently.
type zone struct {
	starters  []*starter
	transfers map[netip.AddrPort][]time.Duration // start times within transferTime, by source
}

// starter is an entry VM that has started recently.
type starter struct {
	address netip.AddrPort
	size    uint32
	synced  bool
	waiting bool // whether it has not received a referral since its last query
	readAt  time.Duration
	seenAt  time.Duration
}

// zone returns the records of a zone, or nil if there are too many zones.
func (a *Agent) zone(name string) *zone {
	z := a.zones[name]
	if z == nil && len(a.zones) < maxZones {
		if a.zones == nil {
			a.zones = map[string]*zone{}
		}
		z = &zone{transfers: map[netip.AddrPort][]time.Duration{}}
		a.zones[name] = z
	}
	return z
}

// expire removes the records of entry VMs that have not sent a message for starterRetention.
func (a *Agent) expire(now time.Duration) {
	for name, z := range a.zones {
		z.starters = slices.DeleteFunc(z.starters, func(s *starter) bool { return now-s.seenAt >= starterRetention })
		if len(z.starters) == 0 {
			delete(a.zones, name)
		}
	}
}

func (z *zone) find(address netip.AddrPort) *starter {
	for _, s := range z.starters {
		if s.address == address {
			return s
		}
	}
	return nil
}

// starter returns the record of an entry VM, or nil if there are too many.
func (z *zone) starter(address netip.AddrPort) *starter {
	s := z.find(address)
	if s == nil && len(z.starters) < maxStarters {
		s = &starter{address: address}
		z.starters = append(z.starters, s)
	}
	return s
}

// hasReader reports whether an entry VM of the zone was recently selected to read the store.
func (z *zone) hasReader(now time.Duration) bool {
	return slices.ContainsFunc(z.starters, func(s *starter) bool {
		return !s.synced && s.readAt > 0 && now-s.readAt < readerTimeout
	})
}

// waiting returns the entry VMs that wait for a referral, the largest first.
func (z *zone) waiting() []*starter {
	var list []*starter
	for _, s := range z.starters {
		if s.waiting {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(x, y *starter) int { return cmp.Compare(y.size, x.size) })
	return list
}

// choose returns the source with the most free transfers and, if there is one, another source in case it fails. It
// returns nil if no source has a free transfer.
func (z *zone) choose(now time.Duration, sources []Source) []netip.AddrPort {
	var best, second netip.AddrPort
	most := 0
	for _, s := range sources {
		started := slices.DeleteFunc(z.transfers[s.Address], func(t time.Duration) bool { return now-t >= transferTime })
		if len(started) == 0 {
			delete(z.transfers, s.Address)
		} else {
			z.transfers[s.Address] = started
		}
		switch free := 1 + int(s.Size/sizePerTransfer) - len(started); {
		case free > most:
			best, second, most = s.Address, best, free
		case !second.IsValid():
			second = s.Address
		}
	}
	if most == 0 {
		return nil
	}
	z.transfers[best] = append(z.transfers[best], now)
	if !second.IsValid() {
		return []netip.AddrPort{best}
	}
	return []netip.AddrPort{best, second}
}
