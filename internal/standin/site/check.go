package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticspar/masticspar/internal/packet"
)

const maxViolations = 20

// flow is the state that the checks keep for one connection of a caller.
type flow struct {
	isn     uint32 // initial sequence number of the caller
	host    string // host that received payload, empty if none did
	refused bool

	accepted []string // names of the hosts that accepted a connection for the flow
}

// recordViolation records the violation of a safety rule, with the time, unless the list is full.
func (s *Site) recordViolation(format string, a ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.Now)+fmt.Sprintf(format, a...))
	}
}

// recordSYN starts the record of a flow from the SYN in s.view. A retransmitted SYN keeps the record.
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
		s.recordViolation("payload of flow %s reached both %s and %s", p.Key, f.host, h.Name)
	}
}

// recordOutcome checks the outcome of a flow and adds broken flows to BrokenFlows.
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
			s.recordViolation("payload of the refused flow %s reached %s", key, host)
		}
	default:
		b := BrokenFlow{Time: s.Now, Key: key, Cause: outcome, Host: host}
		if f != nil {
			b.Accepted = f.accepted
		}
		s.BrokenFlows = append(s.BrokenFlows, b)
	}
}

// recordExecution records the execution of a request. Only requests over UDP may be executed more than once, after a
// lost response.
func (s *Site) recordExecution(token string) {
	s.executed[token]++
	if n := s.executed[token]; n > 1 && !strings.Contains(token, "-udp") {
		s.recordViolation("request %s was executed %d times", token, n)
	}
}

// ControlRate returns the mean rate, in bytes per second, of the messages that the process sent since its start.
func (v *VM) ControlRate() float64 {
	sum := 0
	for _, n := range v.MessageBytes {
		sum += n
	}
	return float64(sum) / max(time.Second, v.site.Now-v.Started).Seconds()
}
