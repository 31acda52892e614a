package capacity

import "github.com/masticspar/masticspar/internal/fleet"

// HostStats is the state of a host in a Model, for status output.
type HostStats struct {
	// Host is the host in the fleet catalog.
	Host *fleet.Host
	// Capacity is the learned capacity in requests/s, zero when unknown. Weight is the weight with all factors applied.
	Capacity, Weight float64
	// Outstanding is the number of outstanding requests of the owner group.
	Outstanding float64
	// Open is the number of open flows of this entry VM and OpenLimit its limit. OpenElsewhere is the number of open
	// flows of the other members.
	Open, OpenLimit, OpenElsewhere int
	// Bad reports whether the host gets only trial flows.
	Bad bool
}

// AppendHostStats appends the state of all hosts of s to dst.
func (m *Model) AppendHostStats(s *fleet.Service, dst []HostStats) []HostStats {
	st := m.services[s.ID]
	if st == nil {
		return dst
	}
	for _, h := range st.hosts {
		dst = append(dst, HostStats{
			Host: h.config, Capacity: h.capacity, Weight: h.weight, Outstanding: h.load(),
			Open: h.open, OpenLimit: h.allowance, OpenElsewhere: h.others.open, Bad: h.bad,
		})
	}
	return dst
}
