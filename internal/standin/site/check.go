package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticspar/masticspar/internal/packet"
)

const keptViolations = 20

// flow is what the site knows about one connection of a caller.
type flow struct {
	start   uint32 // initial sequence number of the caller
	host    string // the host that got payload
	refused bool

	accepted []string // hosts that accepted a connection for it
}

func (s *Site) violate(format string, a ...any) {
	if len(s.Violations) < keptViolations {
		s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.Now)+fmt.Sprintf(format, a...))
	}
}

// opened notes the SYN in s.view.
func (s *Site) opened() {
	p := &s.view
	if f := s.flows[p.Key]; f == nil || f.start != p.Seq {
		s.flows[p.Key] = &flow{start: p.Seq}
	}
}

// arrived checks a packet that a host received.
func (s *Site) arrived(h *Host, datagram []byte) {
	inner, err := s.codec.Decode(datagram)
	if err != nil || s.view.Parse(inner) != nil {
		s.violate("%s received a malformed packet", h.Name)
		return
	}
	p := &s.view
	if p.Key.DestinationAddr() != h.Services[0] {
		s.violate("%s received a packet for %s", h.Name, p.Key)
	}
	f := s.flows[p.Key]
	if f == nil || len(p.Payload) == 0 || p.Key.Protocol != packet.TCP {
		return
	}
	switch {
	case f.refused:
		s.violate("%s received payload of the refused flow %s", h.Name, p.Key)
	case f.host == "":
		f.host = h.Name
	case f.host != h.Name:
		s.violate("payload of %s at %s and %s", p.Key, f.host, h.Name)
	}
}

// ended takes the outcome of a flow.
func (s *Site) ended(key packet.Key, outcome, host string) {
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
			s.violate("the refused flow %s had payload at %s", key, host)
		}
	default:
		b := Broken{Time: s.Now, Key: key, Cause: outcome, Host: host}
		if f != nil {
			b.Accepted = f.accepted
		}
		s.Broken = append(s.Broken, b)
	}
}

// ran notes the execution of a request; those over UDP can run again after a lost response.
func (s *Site) ran(token string) {
	s.executed[token]++
	if n := s.executed[token]; n > 1 && !strings.Contains(token, "-udp") {
		s.violate("request %s ran %d times", token, n)
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
