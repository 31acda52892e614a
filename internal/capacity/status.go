package capacity

import "github.com/masticspar/masticspar/internal/fleet"

// HostStats is what the model knows about a host, for status.
type HostStats struct {
	// Host is the host.
	Host *fleet.Host
	// Capacity is the learned capacity in requests/s, zero when unknown; Weight has all factors applied.
	Capacity, Weight float64
	// Outstanding is the number of outstanding requests of the owner group.
	Outstanding float64
	// Open and OpenLimit are the flows of this entry VM and their limit; OpenElsewhere are those of the other members.
	Open, OpenLimit, OpenElsewhere int
	// Bad says that the host gets trial flows only.
	Bad bool
}

// AppendHostStats appends the figures of all hosts of s to dst.
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
