package flow

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// TestMain makes the runs of rapid reproducible unless its flags are given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// message is a packet in the simulated network; host ID zero is the caller.
type message struct {
	from, to uint32
	viaTable bool // addressed to an entry VM
	bytes    []byte
}

// entryVM is a table with the state that results from its events.
type entryVM struct {
	Table
	host        uint32 // host of the flow that counts as open; zero when there is none
	outstanding bool
}

// world simulates one caller port, a few hosts, entry VMs that each assume that they own the flow, and a lossy network.
type world struct {
	*rapid.T
	now         time.Duration
	s           *fleet.Service
	key         packet.Key
	tables      []*entryVM
	owner       int // most packets reach this entry VM
	caller      client
	servers     []*server
	network     []message
	connections map[uint32]byte // connection number by initial sequence number of the caller
	accepts     uint32
	spacing     uint32                   // between the initial sequence numbers of the hosts
	forwarded   map[byte]map[uint32]bool // hosts that payload of a connection was sent to
	executedOn  map[byte]map[uint32]bool // hosts that executed payload of a connection
	refused     map[byte]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		T: t, now: time.Minute, s: service(packet.TCP, 3), key: flowKey(packet.TCP, 4000), connections: map[uint32]byte{},
		forwarded: map[byte]map[uint32]bool{}, executedOn: map[byte]map[uint32]bool{}, refused: map[byte]bool{},
	}
	for i := range w.s.Hosts {
		w.servers = append(w.servers, &server{id: uint32(i + 1)})
	}
	for range rapid.IntRange(2, 3).Draw(t, "tables") {
		w.tables = append(w.tables, w.newTable())
	}
	return w
}

// newTable returns an entry VM with an empty table.
func (w *world) newTable() *entryVM {
	e := new(entryVM)
	e.Capacity, e.PendingLimit = 8, 4
	e.Emit = func(_ time.Duration, to *fleet.Host, b []byte) { w.output(to, append([]byte(nil), b...)) }
	e.Observe = func(_ time.Duration, v flowevent.Event) { e.observe(w, v) }
	e.Pick = func(_ time.Duration, s *fleet.Service, _ *packet.Key, avoid []uint32) (*fleet.Host, string) {
		i := rapid.SampledFrom([]int{0, 1, 2, 0, 1, 2, 0, 1, 2, -1}).Draw(w.T, "pick")
		if i < 0 {
			return nil, "overload"
		}
		for _, id := range avoid {
			if id == s.Hosts[i].ID {
				return nil, ReasonNoHost
			}
		}
		return s.Hosts[i], ""
	}
	e.AllowRetry = func(time.Duration) bool { return w.chance("retry", 3) }
	return e
}

// chance returns true in n of 4 cases. It samples from a list because rapid does not draw evenly from a range.
func (w *world) chance(name string, n int) bool {
	return rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(w.T, name) < n
}

// observe checks that events follow each other in the order that flowevent documents.
func (e *entryVM) observe(w *world, v flowevent.Event) {
	bad := e.host != v.Host
	switch v.Kind {
	case flowevent.Opened:
		bad = e.host != 0
		e.host = v.Host
	case flowevent.Requested:
		bad = bad || e.outstanding
		e.outstanding = true
	case flowevent.Answered, flowevent.Abandoned:
		bad = bad || !e.outstanding
		e.outstanding = false
	case flowevent.Closed:
		bad = bad || e.outstanding
		e.host = 0
	}
	if bad {
		w.Fatalf("event of kind %d of host %d does not follow the order that flowevent documents", v.Kind, v.Host)
	}
}

// output adds a packet that a table forwarded or created to the network.
func (w *world) output(to *fleet.Host, b []byte) {
	m := message{bytes: b}
	if to != nil {
		m.to = to.ID
		p := parse(is.New(w.T), packet.Segment{Key: w.key})
		if err := p.Parse(b); err != nil {
			w.Fatal(err)
		}
		if len(p.Payload) > 0 {
			addHost(w.forwarded, p.Payload[0], to.ID)
		}
	}
	w.network = append(w.network, m)
}

// addHost adds the host to the set of hosts of a connection.
func addHost(m map[byte]map[uint32]bool, gen byte, host uint32) {
	if m[gen] == nil {
		m[gen] = map[uint32]bool{}
	}
	m[gen][host] = true
}

func (w *world) recordExecution(gen byte, host uint32) { addHost(w.executedOn, gen, host) }

// holder returns the host that holds the other end of the caller's connection, or nil.
func (w *world) holder(c *conn) *server {
	for _, h := range w.servers {
		if h.conn != nil && c.open && h.gen == c.gen && h.iss == c.irs {
			return h
		}
	}
	return nil
}

// checkReset checks that a reset that the caller accepted did not end a connection that its host still holds.
func (w *world) checkReset(c *conn) {
	if h := w.holder(c); h != nil {
		w.Fatalf("connection %d was reset while host %d holds it, want no reset", c.gen, h.id)
	}
}

// send adds segments of the caller or of a host to the network, addressed to an entry VM. Zero is the caller.
func (w *world) send(from uint32, segments ...packet.Segment) {
	for _, s := range segments {
		s.Key = w.key
		if from != 0 {
			s.Key = w.key.Reverse()
		}
		b, err := s.Bytes()
		if err != nil {
			w.Fatal(err)
		}
		w.network = append(w.network, message{from: from, viaTable: true, bytes: b})
	}
}

// deliver removes message i from the network and delivers it. A message to an entry VM goes to the given table.
func (w *world) deliver(i, table int) {
	m := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	var p packet.Packet
	if err := p.Parse(m.bytes); err != nil {
		w.Fatal(err)
	}
	switch {
	case !m.viaTable && m.to == 0:
		w.send(0, w.caller.receive(w, &p)...)
	case !m.viaTable:
		w.send(m.to, w.servers[m.to-1].receive(w, &p)...)
	case m.from == 0:
		if v := w.tables[table].FromCaller(w.now, w.s, &p); v.Action == ToHost {
			w.output(v.Host, m.bytes)
		}
	default:
		if v := w.tables[table].FromHost(w.now, w.s, w.s.Hosts[m.from-1], &p); v.Action == ToCaller {
			w.output(nil, m.bytes)
		}
	}
}

// flush delivers all messages in order through the owner, like a network without faults.
func (w *world) flush() {
	for range 60 {
		if len(w.network) == 0 {
			return
		}
		w.deliver(0, w.owner)
	}
}

// connect opens a new connection from the port of the caller, in whatever state the previous one is.
func (w *world) connect() {
	gen := byte(len(w.connections) + 1)
	iss := uint32(gen) * 0x51ab3c7d
	w.connections[iss] = gen
	w.caller.conn = &conn{gen: gen, iss: iss, sndUna: iss + 1, sndNxt: iss + 1}
	w.retransmit()
}

// retransmit resends the SYN or the unacknowledged payload of the caller.
func (w *world) retransmit() {
	switch c := w.caller.conn; {
	case c == nil:
	case !c.open:
		w.send(0, packet.Segment{Seq: c.iss, SYN: true})
	default:
		w.send(0, c.unacked())
	}
}

// check requires that payload of each connection reaches one host only, and none if the connection was refused.
func (w *world) check() {
	for gen, hosts := range w.forwarded {
		if len(hosts) > 1 {
			w.Fatalf("payload of connection %d was sent to hosts %v, want one host", gen, hosts)
		}
		if w.refused[gen] {
			w.Fatalf("payload of refused connection %d was sent to hosts %v, want none", gen, hosts)
		}
	}
	for gen, hosts := range w.executedOn {
		if len(hosts) > 1 {
			w.Fatalf("payload of connection %d was executed on hosts %v, want one host", gen, hosts)
		}
	}
}

// checkRecovery stops the faults and checks that a connection that its host still holds makes progress.
func (w *world) checkRecovery() {
	for range 60 {
		w.retransmit()
		for _, h := range w.servers {
			if c := h.conn; c != nil && c.open && c.sndUna != c.sndNxt {
				w.send(h.id, c.unacked())
			}
		}
		w.flush()
		w.now += time.Second
		for _, e := range w.tables {
			e.Sweep(w.now)
		}
		w.flush()
		w.check()
	}
	if c := w.caller.conn; c != nil && w.holder(c) != nil && c.sndUna != c.sndNxt {
		w.Fatalf("connection %d has unacknowledged payload 60 s after the last fault although its host holds it", c.gen)
	}
	w.now += 2 * time.Hour
	for _, e := range w.tables {
		e.Sweep(w.now)
		if e.host != 0 || e.Len() != 0 {
			w.Fatalf("%d pins remain and the open flow is on host %d at the end, want 0 and 0", e.Len(), e.host)
		}
	}
}

// Guards against payload of one connection at two hosts (requirement R5), payload of a refused connection (R4), resets
// of live connections (R1), unbalanced events, and connections that hang, under any sequence of faults of the network
// and the entry VMs.
func TestDisagreeingTables(t *testing.T) {
	// Multiples of the golden ratio keep initial sequence numbers further apart than sequenceWindow. Random ones are with
	// a probability of 127/128.
	testDisagreeingTables(t, 0x9e3779b9)
}

// Guards against the same failures when the initial sequence numbers of two hosts are near each other.
func TestDisagreeingTablesWithNearNumbers(t *testing.T) { testDisagreeingTables(t, 1<<20) }

// testDisagreeingTables runs random sequences of packets and faults. The initial sequence numbers of the hosts are
// multiples of spacing.
func testDisagreeingTables(t *testing.T, spacing uint32) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.spacing = spacing
		index := func(n int, name string) int {
			if n == 0 {
				rt.Skip("none")
			}
			return rapid.IntRange(0, n-1).Draw(rt, name)
		}
		table := func() int {
			if w.chance("to owner", 3) {
				return w.owner
			}
			return index(len(w.tables), "table")
		}
		deliver := func(*rapid.T) { i := index(len(w.network), "message"); w.deliver(i, table()) }
		request := func(*rapid.T) {
			if c := w.caller.conn; c != nil && c.open && c.sndNxt-c.sndUna < 50 {
				c.sndNxt += 3
			}
			w.retransmit()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { w.check() },
			"deliver":  deliver,
			"deliver2": deliver,
			"deliver3": deliver,
			"flush":    func(*rapid.T) { w.flush() },
			"lose": func(*rapid.T) {
				i := index(len(w.network), "message")
				w.network = append(w.network[:i:i], w.network[i+1:]...)
			},
			"duplicate": func(*rapid.T) {
				if len(w.network) < 30 {
					w.network = append(w.network, w.network[index(len(w.network), "message")])
				}
			},
			"connect": func(*rapid.T) {
				if w.caller.conn == nil || !w.caller.open && w.chance("abandon", 1) {
					w.connect()
				}
			},
			"abandon": func(*rapid.T) {
				if w.caller.conn != nil && w.chance("abandon", 1) {
					w.connect()
				}
			},
			"request":  request,
			"request2": request,
			"exchange": func(*rapid.T) {
				request(rt)
				w.flush()
			},
			"push": func(*rapid.T) {
				if h := w.servers[index(len(w.servers), "host")]; h.conn != nil && h.open {
					if h.sndNxt-h.sndUna < 50 {
						h.sndNxt += 3
					}
					w.send(h.id, h.unacked())
				}
			},
			"finish": func(*rapid.T) {
				if c := w.caller.conn; c != nil && c.open && c.sndUna == c.sndNxt {
					s := c.segment()
					s.FIN = true
					w.send(0, s)
				}
			},
			"pass-time": func(*rapid.T) {
				w.now += rapid.SampledFrom([]time.Duration{10, 300, 1000, 3000, 11000}).Draw(rt, "ms") * time.Millisecond
				w.tables[w.owner].Sweep(w.now)
			},
			"move-owner": func(*rapid.T) { w.owner = index(len(w.tables), "table") },
			"kill":       func(*rapid.T) { w.tables[index(len(w.tables), "table")] = w.newTable() },
			"suspend":    func(*rapid.T) { w.tables[index(len(w.tables), "table")].MarkUnverified() },
			"release": func(*rapid.T) {
				next := w.tables[index(len(w.tables), "next")]
				w.tables[table()].Release(w.now, 0, func(uint32, *packet.Key) bool { return false },
					func(k *packet.Key, _, host uint32) { next.Learn(w.now, w.s, k, host) })
			},
			"restart-host": func(*rapid.T) {
				if h := w.servers[index(len(w.servers), "host")]; w.chance("restart", 1) {
					h.conn = nil
					h.refuses = w.chance("refuses", 1)
				}
			},
		})
		w.checkRecovery()
	})
}
