package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// reportLifetime is the time for which the last report of a member is valid.
	reportLifetime = 5 * time.Second
	// recentReportAge is the age up to which a report is evidence of a stall. Completions since an older report may not
	// have arrived yet.
	recentReportAge = 1500 * time.Millisecond
	// busyUnit is the unit of Sums.Busy. A mean of one outstanding request over a second then takes two bytes.
	busyUnit = 4 * time.Millisecond
	// memberLifetime is the time for which the sequence number of a forgotten member is kept, in case the member
	// returns. The membership list uses the same time.
	memberLifetime = time.Hour
	// maxHosts is the maximum number of hosts in a received report, which bounds the memory that the report can take.
	maxHosts = 8192
)

// Report holds the observations of the flows of one entry VM about hosts since its previous report. A host that is
// missing has neither sums nor open flows.
type Report struct {
	// Incarnation and Sequence order the reports of a member.
	Incarnation, Sequence uint64
	// Hosts is sorted by Sums.Host.
	Hosts []Sums
}

// Sums are the observations of one host.
type Sums struct {
	// Host is the 32-bit hash of the host's name.
	Host uint32
	// Completions and Failures count since the previous report.
	Completions, Failures uint32
	// Busy is the time integral of outstanding requests since the previous report in units of 4 ms, less the time that
	// they spent on the network.
	Busy uint32
	// Open is the number of open flows.
	Open uint32
	// Borrowed is the number of open flows beyond the member's own share of the host's limit.
	Borrowed uint32
	// Offered is the number of connections that the member lends to the receiver of a filtered report. In a report that
	// is not filtered it is the sum over all receivers.
	Offered uint32
}

// columns is the encoded form of a Report. Columns take fewer bytes than one map for each host. Columns that are zero
// for all hosts are omitted.
type columns struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Sequence    uint64   `cbor:"2,keyasint"`
	Hosts       []uint32 `cbor:"3,keyasint,omitempty"`
	Completions []uint32 `cbor:"4,keyasint,omitempty"`
	Busy        []uint32 `cbor:"5,keyasint,omitempty"`
	Open        []uint32 `cbor:"6,keyasint,omitempty"`
	Failures    []uint32 `cbor:"7,keyasint,omitempty"`
	Borrowed    []uint32 `cbor:"8,keyasint,omitempty"`
	Offered     []uint32 `cbor:"9,keyasint,omitempty"`
}

var decoder = strictcbor.NewDecoder(maxHosts, 4)

// fields pairs each column with the field of Sums that it holds.
func (c *columns) fields() [7]struct {
	values *[]uint32
	field  func(*Sums) *uint32
} {
	return [7]struct {
		values *[]uint32
		field  func(*Sums) *uint32
	}{
		{&c.Hosts, func(s *Sums) *uint32 { return &s.Host }},
		{&c.Completions, func(s *Sums) *uint32 { return &s.Completions }},
		{&c.Busy, func(s *Sums) *uint32 { return &s.Busy }},
		{&c.Open, func(s *Sums) *uint32 { return &s.Open }},
		{&c.Failures, func(s *Sums) *uint32 { return &s.Failures }},
		{&c.Borrowed, func(s *Sums) *uint32 { return &s.Borrowed }},
		{&c.Offered, func(s *Sums) *uint32 { return &s.Offered }},
	}
}

// Encode returns the report in CBOR.
func (r Report) Encode() ([]byte, error) {
	c := columns{Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, f := range c.fields() {
		values, used := make([]uint32, len(r.Hosts)), f.values == &c.Hosts
		for i := range r.Hosts {
			values[i] = *f.field(&r.Hosts[i])
			used = used || values[i] != 0
		}
		if used {
			*f.values = values
		}
	}
	b, err := cbor.Marshal(c)
	return b, errors.Trace(err)
}

// Decode decodes a report. It returns an error when the columns differ in length.
func Decode(b []byte) (Report, error) {
	var c columns
	if err := decoder.Unmarshal(b, &c); err != nil {
		return Report{}, errors.Annotate(err, "decoding capacity report")
	}
	r := Report{Incarnation: c.Incarnation, Sequence: c.Sequence, Hosts: make([]Sums, len(c.Hosts))}
	for _, f := range c.fields() {
		if len(*f.values) != 0 && len(*f.values) != len(r.Hosts) {
			return Report{}, errors.NotValidf("capacity report with columns of %d and %d hosts", len(*f.values), len(r.Hosts))
		}
		for i, v := range *f.values {
			*f.field(&r.Hosts[i]) = v
		}
	}
	return r, nil
}

// Report returns the sums since the last report and starts new ones. It is sent to the members even when it names no
// host, because connections are lent only to members whose reports arrive.
func (m *Model) Report(now time.Duration) Report {
	m.sequence++
	r := Report{Incarnation: m.Incarnation, Sequence: m.sequence}
	for _, h := range m.hosts {
		h.advance(now)
		offer := 0
		if m.hostsByHash[h.reportHash()] == h { // Receivers cannot assign the offer of a colliding host.
			offer = h.proposeOffers(now)
		}
		// The remainder of the division stays for the next report. So does a negative sum, which arises when more
		// network time was subtracted than the requests were outstanding within the interval.
		busy := max(0, h.own.busy/busyUnit)
		s := Sums{
			Host: h.reportHash(), Completions: uint32(h.own.completions), Failures: uint32(h.own.failures),
			Busy: uint32(busy), Open: uint32(h.open), Borrowed: uint32(h.borrowed()), Offered: uint32(offer),
		}
		if s == (Sums{Host: s.Host}) || m.hostsByHash[h.reportHash()] != h {
			continue
		}
		h.own = sums{busy: h.own.busy - busy*busyUnit}
		r.Hosts = append(r.Hosts, s)
	}
	slices.SortFunc(r.Hosts, func(a, b Sums) int { return cmp.Compare(a.Host, b.Host) })
	return r
}

// FilterReport returns the portion of a report of this Model about hosts that the named member owns flows of too.
func (m *Model) FilterReport(r Report, name string) Report {
	p := member{name: name}
	filtered := Report{Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, s := range r.Hosts {
		h := m.hostsByHash[s.Host]
		if h == nil || p.size(h.owners) == 0 {
			continue
		}
		s.Offered = uint32(h.offerTo(name))
		if s != (Sums{Host: s.Host}) {
			filtered.Hosts = append(filtered.Hosts, s)
		}
	}
	return filtered
}

// Merge adds the report of another member. A report that is older than the last one, or a duplicate, has no effect. All
// of its sums are lost, so the ratio of completions and outstanding requests stays right.
func (m *Model) Merge(now time.Duration, from string, r Report) {
	if from == m.Self {
		return
	}
	p := m.members[from]
	if p == nil {
		p = &member{name: from}
		if m.members == nil {
			m.members = map[string]*member{}
		}
		m.members[from] = p
	}
	if r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Sequence <= p.sequence {
		return
	}
	elapsed := time.Second
	if p.receivedAt > 0 && !p.forgotten && r.Incarnation == p.incarnation {
		// The sums cover only the last interval. When reports before it were lost or are late, the interval is the time
		// since the last one that arrived, divided by the number of reports sent since.
		elapsed = min(2*time.Second, max(500*time.Millisecond,
			(now-p.receivedAt)/time.Duration(max(1, min(r.Sequence-p.sequence, 1000)))))
	}
	p.incarnation, p.sequence, p.receivedAt, p.forgotten = r.Incarnation, r.Sequence, now, false
	before := p.hosts
	p.hosts = nil
	for _, s := range r.Hosts {
		h := m.hostsByHash[s.Host]
		if h == nil {
			continue
		}
		p.hosts = append(p.hosts, h)
		h.merge(now, p, s, elapsed)
	}
	for _, h := range before {
		h.gather(now)
	}
}

func (h *host) merge(now time.Duration, p *member, s Sums, elapsed time.Duration) {
	busy := time.Duration(s.Busy) * busyUnit
	h.group.completions += int(s.Completions)
	h.group.failures += int(s.Failures)
	h.group.busy += busy
	if s.Completions > 0 {
		h.progressAt = now
	}
	i := slices.IndexFunc(h.peers, func(ps peerState) bool { return ps.member == p })
	if i < 0 {
		i = len(h.peers)
		h.peers = append(h.peers, peerState{})
	}
	// The mean over the interval is steadier than a count at one instant, which all members would act on for a second.
	h.peers[i] = peerState{
		member: p, sequence: p.sequence, outstanding: busy.Seconds() / elapsed.Seconds(),
		open: int(s.Open), borrowed: int(s.Borrowed), offered: min(int(s.Offered), connectionLimit(h.config)),
		grant: h.peers[i].grant,
	}
	h.gather(now)
}

// valid reports whether the host is in the last report of the member and that report has not expired.
func (ps *peerState) valid(now time.Duration) bool {
	return ps.sequence == ps.member.sequence && now-ps.member.receivedAt <= reportLifetime
}

// gather sums up the last reports of the other members.
func (h *host) gather(now time.Duration) {
	before := h.load()
	h.others = peerState{}
	for i := range h.peers {
		ps := &h.peers[i]
		if ps.sequence != ps.member.sequence {
			continue
		}
		if !ps.valid(now) {
			continue
		}
		h.others.outstanding += ps.outstanding
		h.others.open += ps.open
		if now-ps.member.receivedAt <= recentReportAge {
			h.others.recentOutstanding += ps.outstanding
		}
		h.others.offered += ps.offered
	}
	if before < stalledRequests && h.load() >= stalledRequests {
		h.progressAt = now
	}
	h.updateAllowance()
}

// Forget drops the last report of a member that is dead or has left. Reports that were sent before are still refused,
// and newer ones are accepted.
func (m *Model) Forget(name string) {
	p := m.members[name]
	if p == nil {
		return
	}
	p.forgotten, p.receivedAt, p.hosts = true, m.lastTick, nil
	for _, h := range m.hosts {
		for i := range h.peers {
			if h.peers[i].member == p {
				h.lent -= h.peers[i].granted
			}
		}
		h.peers = slices.DeleteFunc(h.peers, func(ps peerState) bool { return ps.member == p })
		h.gather(m.lastTick)
	}
}

// prune drops the sequence numbers of forgotten members.
func (m *Model) prune(now time.Duration) {
	for name, p := range m.members {
		if p.forgotten && now-p.receivedAt > memberLifetime {
			delete(m.members, name)
		}
	}
}
