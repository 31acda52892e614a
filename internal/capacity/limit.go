package capacity

import (
	"math"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

const (
	// reservePercent is the percentage of its own share that a member never lends. It covers the growth between two
	// reports.
	reservePercent = 10
	// needPercent is the use of its share, in percent, at which a member needs more. Offers are made only then, which
	// keeps them out of most reports.
	needPercent = 75
	// holdTime is the time for which an offer stays reserved. The report with the offer may arrive up to reportLifetime
	// late and is then valid for reportLifetime. The same holds for the report of the member that borrowed at the end
	// of this time.
	holdTime = 4 * reportLifetime
)

// limit is the share of a host's connections that this entry VM may use.
type limit struct {
	share       int           // own share of the limit in connections
	nextShare   int           // greater share that is not active yet
	nextShareAt time.Duration // when nextShare becomes active
	allowance   int           // number of open flows from which new ones are refused
	lent        int           // connections kept free for others: the sum of all grants
}

// grant is the number of connections that this entry VM keeps free for another member.
type grant struct {
	granted  int           // connections kept free
	proposed int           // offered in the last report
	peak     int           // greatest proposal since the grant was last recomputed
	since    time.Duration // when the grant was last recomputed, or later when the member's reports last had a gap
}

// ownShare returns how many of the host's connections belong to this entry VM.
func (m *Model) ownShare(c *fleet.Host, owners []Owner) int {
	if len(owners) == 0 {
		return connectionLimit(c)
	}
	total := totalSize(owners, "")
	if total <= 0 {
		return 0
	}
	return int(float64(connectionLimit(c)) * (total - totalSize(owners, m.Self)) / total)
}

// connectionLimit returns the connection limit of a host, math.MaxInt32 when none is set.
func connectionLimit(c *fleet.Host) int {
	if c.Connections <= 0 {
		return math.MaxInt32
	}
	return c.Connections
}

// setShare changes the own share after a change of the owner group. A greater share becomes active only after holdTime,
// because the other members use their old shares until they have received the change too.
func (h *host) setShare(now time.Duration, share int) {
	if h.created == now {
		h.share = share
	}
	h.share = min(h.share, share)
	if share != h.nextShare {
		h.nextShare, h.nextShareAt = share, now+holdTime
	}
	h.updateAllowance()
}

// updateAllowance recomputes the number of flows that may be open.
func (h *host) updateAllowance() {
	h.allowance = max(0, h.share-h.lent) + h.others.offered
}

// borrowed returns the number of open flows that use connections lent by other members.
func (h *host) borrowed() int {
	return max(0, h.open-max(0, h.share-h.lent))
}

// reclaim takes back the connections that the other members no longer need. A member without recent reports may have
// borrowed connections that it has not reported, so nothing is taken back from it.
func (h *host) reclaim(now time.Duration) {
	if h.share < h.nextShare && now >= h.nextShareAt {
		h.share = h.nextShare
	}
	for i := range h.peers {
		ps := &h.peers[i]
		if now-h.created <= holdTime {
			// A process that has just restarted has lost the grants from before.
			h.raiseGrant(ps, min(ps.borrowed, h.share-h.open-h.lent+ps.granted))
		}
		if now-ps.member.receivedAt > reportLifetime {
			ps.since = now
		}
		if now-ps.since > holdTime {
			used := 0
			if ps.valid(now) {
				used = ps.borrowed
			}
			to := max(ps.peak, min(ps.granted, used))
			h.lent += to - ps.granted
			ps.granted, ps.peak, ps.since = to, ps.proposed, now
		}
	}
	h.updateAllowance()
}

// raiseGrant raises a grant to at least n.
func (h *host) raiseGrant(ps *peerState, n int) {
	if n > ps.granted {
		h.lent += n - ps.granted
		ps.granted = n
	}
}

// proposeOffers sets the offers for the next report and returns their sum. Members in need share the free connections
// in proportion to their sizes.
func (h *host) proposeOffers(now time.Duration) int {
	needySize := 0.0
	for i := range h.peers {
		h.peers[i].proposed = 0
		if h.peers[i].needs(now, h) {
			needySize += h.peers[i].member.size(h.owners)
		}
	}
	if needySize == 0 || h.borrowed() > 0 {
		return 0
	}
	usable := h.share - h.open - (h.share*reservePercent+99)/100
	sum := 0
	for i := range h.peers {
		ps := &h.peers[i]
		if !ps.needs(now, h) {
			continue
		}
		target := int(float64(usable) * ps.member.size(h.owners) / needySize)
		ps.proposed = max(0, min(target, ps.granted+max(0, usable-h.lent)))
		sum += ps.proposed
		h.raiseGrant(ps, ps.proposed)
		ps.peak = max(ps.peak, ps.proposed)
	}
	h.updateAllowance()
	return sum
}

// offerTo returns the offer to a member in the last report.
func (h *host) offerTo(name string) int {
	for i := range h.peers {
		if h.peers[i].member.name == name {
			return h.peers[i].proposed
		}
	}
	return 0
}

// needs reports whether the member is close to its share of the host's limit or beyond it.
func (ps *peerState) needs(now time.Duration, h *host) bool {
	if !ps.valid(now) || h.config.Connections <= 0 {
		return false
	}
	share := float64(h.config.Connections) * ps.member.size(h.owners) / totalSize(h.owners, "")
	return share > 0 && (ps.borrowed > 0 || float64(ps.open)*100 >= needPercent*share)
}

// totalSize returns the sum of the sizes of all owners except the named one.
func totalSize(owners []Owner, except string) float64 {
	total := 0.0
	for _, o := range owners {
		if o.Name != except {
			total += o.Size
		}
	}
	return total
}

// size returns the size of the member in the owner group, zero if it is not in it.
func (p *member) size(owners []Owner) float64 {
	for _, o := range owners {
		if o.Name == p.name {
			return o.Size
		}
	}
	return 0
}
