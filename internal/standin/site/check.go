package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticspar/masticspar/internal/packet"
)

const maxViolations = 20

// flow is what the site knows about one connection of a caller.
type flow struct {
	isn     uint32 // initial sequence number of the caller
	host    string // the host that got payload
	refused bool

	accepted []string // hosts that accepted a connection for it
}

func (s *Site) recordViolation(format string, a ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.Now)+fmt.Sprintf(format, a...))
	}
}

// recordSYN notes the SYN in s.view.
func (s *Site) recordSYN() {
	p := &s.view
	if f := s.flows[p.Key]; f == nil || f.isn != p.Seq {
		s.flows[p.Key] = &flow{isn: p.Seq}
	}
}

// checkDelivery checks a packet that a host received.
func (s *Site) checkDelivery(h *Host, datagram []byte) {
	inner, err := s.codec.Decode(datagram)
	if err != nil || s.view.Parse(inner) != nil {
		s.recordViolation("%s received a malformed packet", h.Name)
		return
	}
	p := &s.view
	if p.Key.DestinationAddr() != h.Services[0] {
		s.recordViolation("%s received a packet for %s", h.Name, p.Key)
	}
	f := s.flows[p.Key]
	if f == nil || len(p.Payload) == 0 || p.Key.Protocol != packet.TCP {
		return
	}
	switch {
	case f.refused:
		s.recordViolation("%s received payload of the refused flow %s", h.Name, p.Key)
	case f.host == "":
		f.host = h.Name
	case f.host != h.Name:
		s.recordViolation("payload of %s at %s and %s", p.Key, f.host, h.Name)
	}
}

// recordOutcome takes the outcome of a flow.
func (s *Site) recordOutcome(key packet.Key, outcome, host string) {
	f := s.flows[key]
	if f != nil && f.host != "" {
		host = f.host
	}
	switch outcome {
	case "whole":
	case "refused":
		if f != nil {
			f.refused = true
		}
		if host != "" {
			s.recordViolation("the refused flow %s had payload at %s", key, host)
		}
	default:
		b := BrokenFlow{Time: s.Now, Key: key, Cause: outcome, Host: host}
		if f != nil {
			b.Accepted = f.accepted
		}
		s.BrokenFlows = append(s.BrokenFlows, b)
	}
}

// recordExecution notes the execution of a request; those over UDP can run again after a lost response.
func (s *Site) recordExecution(token string) {
	s.executed[token]++
	if n := s.executed[token]; n > 1 && !strings.Contains(token, "-udp") {
		s.recordViolation("request %s ran %d times", token, n)
	}
}

// ControlRate returns the bytes per second of the messages that a process sent while it ran.
func (v *VM) ControlRate() float64 {
	sum := 0
	for _, n := range v.MessageBytes {
		sum += n
	}
	return float64(sum) / max(time.Second, v.site.Now-v.Started).Seconds()
}
