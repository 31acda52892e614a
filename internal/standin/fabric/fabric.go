package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/datagram"
	"github.com/masticspar/masticspar/internal/timer"
)

// Faults are the faults that the fabric injects. Loss and Duplication are probabilities per datagram.
type Faults struct {
	Loss        float64       `json:"loss"`
	Duplication float64       `json:"duplication"`
	Delay       time.Duration `json:"delay-ns"`
	Jitter      time.Duration `json:"jitter-ns"` // bound of the random addition to Delay, which reorders datagrams
}

// Fabric is the network fabric. Its exported fields must be set before Start.
type Fabric struct {
	// Address is the address that callers, backend hosts and entry VMs send to; port 0 selects a free port.
	Address netip.AddrPort
	// Hosts contains the outer addresses of all backend hosts and no others.
	Hosts netip.Prefix
	// Random chooses entry VMs and faults.
	Random *rand.Rand
	// Counters counts forwarded and dropped datagrams; nil discards the counts.
	Counters *counter.Set
	// Timer provides the time for the rotation of the sending ports.
	Timer *timer.Service

	mu          sync.Mutex
	socket      *fabric.Socket
	closed      bool
	codec       geneve.Codec
	view        packet.Packet
	entries     []netip.AddrPort
	faults      Faults
	blocked     map[netip.Addr]bool
	callers     map[[16]byte]netip.AddrPort   // by inner address
	hostSockets map[netip.Addr]*datagram.Conn // by the IP address that they send from
	cleanups    []func()
}

// Start opens the socket and starts to forward datagrams. The returned function closes all sockets.
func (f *Fabric) Start() (func(), error) {
	f.callers = map[[16]byte]netip.AddrPort{}
	f.hostSockets = map[netip.Addr]*datagram.Conn{}
	f.mu.Lock()
	defer f.mu.Unlock()
	socket, stop, err := fabric.New(f.Address, f.Counters, f.handle)
	if err != nil {
		return nil, errors.Trace(err)
	}
	f.socket = socket
	return func() {
		stop()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, c := range f.cleanups {
			c()
		}
	}, nil
}

// Addr returns the address and port that the fabric receives on.
func (f *Fabric) Addr() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.socket.Addr()
}

// Entries returns the entry VMs that receive packets.
func (f *Fabric) Entries() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// SetEntries replaces the entry VMs that receive packets.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = slices.Clone(entries)
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetBlocked replaces the outer addresses whose datagrams are dropped in both directions.
func (f *Fabric) SetBlocked(addresses []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = map[netip.Addr]bool{}
	for _, a := range addresses {
		f.blocked[a] = true
	}
}

func (f *Fabric) handle(batch []fabric.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range batch {
		f.route(&batch[i])
	}
	f.socket.Flush()
}

func (f *Fabric) route(d *fabric.Datagram) {
	inner, err := f.codec.Decode(d.Bytes)
	if err != nil || f.view.Parse(inner) != nil {
		f.Counters.Add("dropped-foreign", 1)
		return
	}
	if f.blocked[d.Source.Addr()] {
		f.Counters.Add("dropped-blocked", 1)
		return
	}
	key := &f.view.Key
	if f.codec.Direction == geneve.ToService {
		f.callers[key.Source] = d.Source
		f.spray(netip.Addr{}, d.Bytes, key)
		return
	}
	if f.Hosts.Contains(d.Source.Addr()) {
		f.spray(d.Source.Addr(), d.Bytes, key)
		return
	}
	caller, ok := f.callers[key.Destination]
	if !ok {
		f.Counters.Add("dropped-no-caller", 1)
		return
	}
	f.Counters.Add("to-caller", 1)
	f.impair(netip.Addr{}, caller, d.Bytes, key.Hash())
}

// spray sends b to a random entry VM; a valid host is the IP address to send from.
func (f *Fabric) spray(host netip.Addr, b []byte, key *packet.Key) {
	if len(f.entries) == 0 {
		f.Counters.Add("dropped-no-entry", 1)
		return
	}
	if host.IsValid() {
		f.Counters.Add("from-host", 1)
	} else {
		f.Counters.Add("from-caller", 1)
	}
	f.impair(host, f.entries[f.Random.IntN(len(f.entries))], b, key.Hash())
}

// impair sends b to an address with the injected faults; a valid host is the IP address to send from.
func (f *Fabric) impair(host netip.Addr, to netip.AddrPort, b []byte, hash uint64) {
	if f.blocked[to.Addr()] {
		f.Counters.Add("dropped-blocked", 1)
		return
	}
	if f.faults.Loss > 0 && f.Random.Float64() < f.faults.Loss {
		f.Counters.Add("dropped-loss", 1)
		return
	}
	copies := 1
	if f.faults.Duplication > 0 && f.Random.Float64() < f.faults.Duplication {
		copies = 2
	}
	for range copies {
		delay := f.faults.Delay
		if f.faults.Jitter > 0 {
			delay += time.Duration(f.Random.Int64N(int64(f.faults.Jitter)))
		}
		if delay <= 0 {
			f.send(host, to, b, hash)
			continue
		}
		delayed := slices.Clone(b)
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.closed {
				f.send(host, to, delayed, hash)
				f.socket.Flush()
			}
		})
	}
}

func (f *Fabric) send(host netip.Addr, to netip.AddrPort, b []byte, hash uint64) {
	if !host.IsValid() {
		f.socket.Send(to, b, hash, f.Timer.Now())
		return
	}
	conn := f.hostSockets[host]
	if conn == nil {
		var stop func()
		var err error
		if conn, stop, err = datagram.New(netip.AddrPortFrom(host, 0), nil); err != nil {
			f.Counters.Add("dropped-host-socket", 1)
			return
		}
		f.hostSockets[host] = conn
		f.cleanups = append(f.cleanups, stop)
	}
	conn.Send(to, b)
}
