package fleet

import (
	"net/netip"
	"time"
)

// Service is one service of the accepted configuration; it is immutable.
type Service struct {
	// ID identifies the name for the lifetime of the process; it is never zero.
	ID uint32
	// Name is the name in the inventory.
	Name string
	// Protocol is packet.TCP or packet.UDP.
	Protocol uint8
	// Addresses are the addresses and ports that callers connect to.
	Addresses []netip.AddrPort
	// Hosts are all hosts of the service, including leaving ones, sorted by name.
	Hosts []*Host
	// OwnerGroup is the number of entry VMs that own flows of the service.
	OwnerGroup int
	// IdleTimeout is the time without packets after which an established TCP flow ends; zero selects the default of
	// package flow.
	IdleTimeout time.Duration
	// WarmUp is the time after which a new host receives its full share of flows.
	WarmUp time.Duration
	// MaxWait is the expected waiting time of a new request above which flows are refused; zero selects the default of
	// package capacity.
	MaxWait time.Duration
}

// Host is one backend server VM of a service; it is immutable.
type Host struct {
	// ID identifies the name for the lifetime of the process; it is never zero.
	ID uint32
	// Name is the name in the inventory.
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Address is where the host receives encapsulated packets; its IP address identifies the host in return packets.
	Address netip.AddrPort
	// Weight is the published relative speed, 1 if the inventory has none.
	Weight float64
	// Slots is the number of requests that the host processes at a time.
	Slots int
	// Connections is the limit of open flows over all entry VMs; zero means no limit.
	Connections int
	// Started is when the host started, zero if unknown.
	Started time.Time
	// Leaving reports whether the rules exclude the host from new flows.
	Leaving bool
	// OutsideZone reports whether the rules place the service in availability zones other than that of the host.
	OutsideZone bool
	// MaxShare is the limit for the host's share of the service's new flows, from 0 to 1; zero means no limit.
	MaxShare float64
}
