package entry

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flow"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/packet"
)

// responseWeight is the weight of the newest response time in the moving average for status output.
const responseWeight = 0.1

// hostObservation holds what status output shows of a host beyond the statistics of the model.
type hostObservation struct {
	responseMS float64 // moving average of the response time in ms, zero when unknown
	refusals   map[string]int64
}

func (e *Engine) observeHost(ev flowevent.Event) {
	o := e.observations[ev.Host]
	if o == nil {
		o = &hostObservation{refusals: map[string]int64{}}
		e.observations[ev.Host] = o
	}
	switch ev.Kind {
	case flowevent.Answered:
		ms := float64(ev.Elapsed) / float64(time.Millisecond)
		if o.responseMS == 0 {
			o.responseMS = ms
		}
		o.responseMS += (ms - o.responseMS) * responseWeight
	case flowevent.Refused:
		o.refusals["host-refused"]++
	case flowevent.Unanswered:
		o.refusals["host-unanswered"]++
	default:
	}
}

// Status returns the state of this entry VM for operators.
func (e *Engine) Status(now time.Duration) operator.Status {
	e.now = now
	s := operator.Status{
		Name: e.Self.Name, Ready: e.Ready(), Draining: e.leaving, IgnoredRules: e.catalog.Ignored(),
		Inventory: e.documentStatus(fleet.Inventory), Rules: e.documentStatus(fleet.Rules),
		Peers: []operator.Peer{}, Services: []operator.Service{},
	}
	if r := e.catalog.LastRefusal(); r.Error != "" {
		s.LastRefusal = &operator.Refusal{
			Document: r.Kind.String(), Source: r.Source, Error: r.Error, AgeSeconds: (now - r.Time).Seconds(),
		}
	}
	for _, m := range e.members.Members() {
		if m.Name != e.Self.Name {
			s.Peers = append(s.Peers, operator.Peer{
				Name: m.Name, Region: m.Region, AvailabilityZone: m.Zone, Size: float64(m.Size) / SizeUnit, State: m.State.String(),
			})
		}
	}
	for _, v := range e.catalog.Services() {
		s.Services = append(s.Services, e.serviceStatus(v))
	}
	return s
}

func (e *Engine) documentStatus(kind fleet.Kind) operator.Document {
	v := e.catalog.Versions().Of(kind)
	at, source := e.catalog.Accepted(kind)
	d := operator.Document{Version: v.Number, Source: source}
	if v.Number > 0 {
		d.Hash = fmt.Sprintf("%016x", v.Hash)
		d.AgeSeconds = (e.now - at).Seconds()
	}
	return d
}

func (e *Engine) serviceStatus(v *fleet.Service) operator.Service {
	s := operator.Service{Name: v.Name, Protocol: protocolName(v.Protocol), Addresses: v.Addresses, Hosts: []operator.Host{}}
	stats := e.model.AppendHostStats(v, nil)
	total := 0.0
	for _, hs := range stats {
		total += hs.Weight
	}
	byHost := map[uint32]capacity.HostStats{}
	for _, hs := range stats {
		byHost[hs.Host.ID] = hs
	}
	for _, h := range v.Hosts {
		o := operator.Host{
			Name: h.Name, AvailabilityZone: h.Zone, Address: h.Address, State: hostState(h, byHost[h.ID]),
			Leaving: h.Leaving, OutsideZone: h.OutsideZone, MaxShare: h.MaxShare, Weight: h.Weight,
			OpenFlows: byHost[h.ID].Open, Refusals: map[string]int64{},
		}
		if total > 0 {
			o.LearnedWeight = byHost[h.ID].Weight / total * float64(len(stats))
		}
		if observation := e.observations[h.ID]; observation != nil {
			o.FirstAnswerMS = observation.responseMS
			for reason, n := range observation.refusals {
				o.Refusals[reason] = n
			}
		}
		s.Hosts = append(s.Hosts, o)
	}
	return s
}

func hostState(h *fleet.Host, stats capacity.HostStats) string {
	switch {
	case h.Leaving:
		return "leaving"
	case stats.Bad:
		return "bad"
	case h.OutsideZone:
		return "outside-zone"
	}
	return "serving"
}

func protocolName(protocol uint8) string {
	if protocol == packet.UDP {
		return "udp"
	}
	return "tcp"
}

// Flow returns the state of a flow at this entry VM. The result has no service when the destination is not an address
// of a service, and no host when there is no pin.
func (e *Engine) Flow(now time.Duration, protocol string, source, destination netip.AddrPort) (operator.Flow, error) {
	number := uint8(packet.TCP)
	switch protocol {
	case "tcp":
	case "udp":
		number = packet.UDP
	default:
		return operator.Flow{}, errors.NotValidf("protocol %q (allowed: tcp, udp)", protocol)
	}
	k := packet.NewKey(number, source, destination)
	f := operator.Flow{Protocol: protocol, Source: source, Destination: destination}
	s := e.catalog.Lookup(&k)
	if s == nil {
		return f, nil
	}
	f.Service = s.Name
	owner, backup, _ := e.groups.owner(s.ID, &k)
	if owner != nil {
		f.Owner = owner.Name
	}
	if backup != nil {
		f.Backup = backup.Name
	}
	pin, ok := e.flows.Get(now, &k)
	if !ok {
		f.Why = "this entry VM has no pin: the flow is not open, or its owner has the pin"
		return f, nil
	}
	f.State = pin.State
	if h := e.hostByID(pin.Service, pin.Host); h != nil {
		f.Host = h.Name
	}
	f.Why = e.explainHost(s, &k, pin)
	return f, nil
}

// explainHost returns a sentence that explains the host of a pin.
func (e *Engine) explainHost(s *fleet.Service, k *packet.Key, pin flow.Pin) string {
	switch {
	case pin.Searching:
		return "probes are searching for the host of the flow"
	case pin.State == "unverified":
		return "the host is a guess that has not been verified since a takeover, a pause or a hint"
	}
	for i, h := range e.model.Rank(s, k, nil) {
		if h.ID == pin.Host {
			return fmt.Sprintf("the host has rank %d of %d for the flow by learned capacity", i+1, len(s.Hosts))
		}
	}
	return "the host is no longer in the inventory"
}

// OpenFlows returns the number of pins.
func (e *Engine) OpenFlows() int { return e.flows.Len() }
