package fleet

import (
	"net/netip"
	"time"
)

// Service is one service of the accepted configuration; it is immutable.
type Service struct {
	// ID is the same for a name as long as the process lives.
	ID uint32
	// Name is the name in the inventory.
	Name string
	// Protocol is packet.TCP or packet.UDP.
	Protocol uint8
	// Addresses are the addresses and ports that callers connect to.
	Addresses []netip.AddrPort
	// Hosts are all hosts of the service in the order of their names, leaving ones included.
	Hosts []*Host
	// OwnerGroup is the number of entry VMs that own flows of the service.
	OwnerGroup int
	// IdleTimeout ends an established flow without packets.
	IdleTimeout time.Duration
	// WarmUp is the time in which a new host reaches its full share.
	WarmUp time.Duration
	// MaxWait is the expected wait of a new request above which flows are refused.
	MaxWait time.Duration
}

// Host is one backend server VM of a service; it is immutable.
type Host struct {
	// ID is the same for a name as long as the process lives; it is never zero.
	ID uint32
	// Name is the name in the inventory.
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Address is where the host receives encapsulated packets; its IP address names the sender of return packets.
	Address netip.AddrPort
	// Weight is the published relative speed, 1 when the inventory gives none.
	Weight float64
	// Slots is the number of requests that the host works on at once.
	Slots int
	// Connections is the greatest number of open flows over all entry VMs.
	Connections int
	// Started is when the host started; zero when unknown.
	Started time.Time
	// Leaving says that the host gets no new flows.
	Leaving bool
	// OutsideZone says that the rules put the service into other availability zones.
	OutsideZone bool
	// MaxShare is the greatest share of the service's new flows that the operators allow; zero is no limit.
	MaxShare float64
}
