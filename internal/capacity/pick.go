package capacity

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

// Reasons for which Pick refuses a flow. They are part of the name of the refusal counter.
const (
	ReasonNoHost          = "no-host"
	ReasonOverload        = "overload"
	ReasonConnectionLimit = "connection-limit"
)

// defaultMaxWait is the max-wait of a service that sets none.
const defaultMaxWait = 2 * time.Second

// currentShare is the share of the others' outstanding requests that is estimated from the own count. At 0, the p99 of
// the first response is 3.5 times as long; at 0.9, imbalance grows by 0.07; 0.3 to 0.5 give equal results.
const currentShare = 0.4

// class orders hosts by their fitness for a new flow; only hosts of the fittest class present are selected.
type class uint8

const (
	classInZone      class = iota
	classOutsideZone       // outside the availability zones that the rules give the service
	classOverShare         // the host has its max-share of the recent flows
	classBad               // selected only when no other host is left
	classAvoided           // host that the caller of Pick wants to avoid
	classExcluded
)

type ranked struct {
	host  *fleet.Host
	score float64
}

// Pick selects the host of a new flow, or returns the reason why the flow is refused. It selects the host with the ID
// avoid only when no other host can take the flow; zero avoids none. UDP flows get the host that PickPublished returns.
func (m *Model) Pick(now time.Duration, s *fleet.Service, key *packet.Key, avoid uint32) (*fleet.Host, string) {
	if s.Protocol == packet.UDP {
		if h := m.PickPublished(s, key); h != nil {
			return h, ""
		}
		return nil, ReasonNoHost
	}
	st := m.service(now, s)
	flow := key.Hash()
	var first, second, trial *host
	var firstScore, secondScore, outstanding, capacity float64
	best, full := classExcluded, false
	for _, h := range st.hosts {
		c := h.classify(now, st, avoid)
		if c <= classOverShare || c == classAvoided {
			outstanding += h.load()
			capacity += h.weight
		}
		if c == classExcluded || h.open >= h.allowance {
			full = full || c != classExcluded
			continue
		}
		if c == classBad && avoid == 0 && h.sendsTrials && h.bad && now >= h.trialAt {
			trial = h
		}
		if c > best {
			continue
		}
		if c < best {
			best, first, second, firstScore, secondScore = c, nil, nil, 0, 0
		}
		switch v := score(h.hash, flow, h.weightIn(c)); {
		case first == nil || v > firstScore:
			first, second, firstScore, secondScore = h, first, v, firstScore
		case second == nil || v > secondScore:
			second, secondScore = h, v
		}
	}
	if trial != nil && (best != classInZone || !trial.config.OutsideZone) {
		trial.scheduleTrial(now)
		return trial.config, ""
	}
	if st.learned && outstanding > capacity*maxWait(s).Seconds() {
		return nil, ReasonOverload
	}
	switch {
	case first == nil && full:
		return nil, ReasonConnectionLimit
	case first == nil:
		return nil, ReasonNoHost
	case second != nil && second.preferredTo(first, best):
		return second.config, ""
	}
	return first.config, ""
}

// preferredTo reports whether h, the second in rank, has fewer outstanding requests for its weight than the first. A
// host with a reduced weight is nearly idle and would win most comparisons, so it gets only the flows that rank it
// first.
func (h *host) preferredTo(first *host, c class) bool {
	if h.reduced && !first.reduced {
		return false
	}
	return h.expectedOutstanding()*first.weightIn(c) < first.expectedOutstanding()*h.weightIn(c)
}

func maxWait(s *fleet.Service) time.Duration {
	if s.MaxWait > 0 {
		return s.MaxWait
	}
	return defaultMaxWait
}

func (h *host) classify(now time.Duration, st *service, avoid uint32) class {
	switch {
	case h.config.Leaving:
		return classExcluded
	case h.config.ID == avoid && avoid != 0:
		return classAvoided
	case h.bad || h.stalled(now):
		return classBad
	case h.config.MaxShare > 0 && h.picks > h.config.MaxShare*st.picks:
		return classOverShare
	case h.config.OutsideZone:
		return classOutsideZone
	}
	return classInZone
}

// weightIn returns the weight of the host among hosts of class c. The learned weight of a bad host is outdated, so the
// published weight replaces it.
func (h *host) weightIn(c class) float64 {
	if c == classBad {
		return h.config.Weight
	}
	return h.weight
}

// Rank appends all hosts of s to dst in the rank order of the flow, with leaving hosts last.
func (m *Model) Rank(s *fleet.Service, key *packet.Key, dst []*fleet.Host) []*fleet.Host {
	st, flow := m.service(m.lastTick, s), key.Hash()
	m.ranked = m.ranked[:0]
	for _, h := range st.hosts {
		v := score(h.hash, flow, h.weight)
		if h.config.Leaving {
			v = -1 / v
		}
		m.ranked = append(m.ranked, ranked{h.config, v})
	}
	slices.SortFunc(m.ranked, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	for _, r := range m.ranked {
		dst = append(dst, r.host)
	}
	return dst
}

// PickPublished returns the first host of the flow by published weight, or nil if all hosts are leaving. The result
// depends only on the accepted documents, so all entry VMs agree without messages.
func (m *Model) PickPublished(s *fleet.Service, key *packet.Key) *fleet.Host {
	flow := key.Hash()
	var first *fleet.Host
	var high float64
	for _, h := range s.Hosts {
		if h.Leaving || first != nil && h.OutsideZone && !first.OutsideZone {
			continue
		}
		v := score(xxhash.Sum64String(h.Name), flow, h.Weight)
		if first == nil || v > high || first.OutsideZone && !h.OutsideZone {
			first, high = h, v
		}
	}
	return first
}

// expectedOutstanding estimates the outstanding requests of the owner group for the choice between two hosts. The last
// report of the others is up to a second old. Members that compare it with full weight all prefer the same host for
// that second and overload it. The own count is current, so it also stands for a share of the others' requests.
//
// The estimate does not include the new request itself. The request is the same for both hosts, so adding it would
// shift work from slow to fast hosts until their queues are equally long in time.
func (h *host) expectedOutstanding() float64 {
	return h.live()*(1+currentShare*h.othersScale) + (1-currentShare)*h.others.outstanding
}

// score is the weighted rendezvous score of a host for a flow.
func score(host, flow uint64, weight float64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], host)
	binary.LittleEndian.PutUint64(b[8:], flow)
	return rendezvous.Score(xxhash.Sum64(b[:]), weight)
}
