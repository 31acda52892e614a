package site

import (
	"encoding/json"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

// pollPeriod is the time between two reads when a watch fails or the platform returns an outdated document.
const pollPeriod = time.Second

// Platform simulates the configuration service. Its exported fields inject faults.
type Platform struct {
	// Down reports whether the platform is unavailable.
	Down bool
	// Delay is added to each reply.
	Delay time.Duration
	// Lag is the number of publications by which replies lag behind; the first publication is always served.
	Lag int
	// AllowedVMs is the set of names of the entry VMs that get replies; nil allows all.
	AllowedVMs map[string]bool

	history [len(fleet.Kinds)][][]byte
}

// Restore drops the newest publication of each kind, as a platform that was restored from a copy does.
func (p *Platform) Restore() {
	for i, all := range p.history {
		p.history[i] = all[:max(1, len(all)-1)]
	}
}

// PublishInventory increments the version of the site's inventory and publishes it.
func (s *Site) PublishInventory() {
	s.Inventory.Version++
	s.publish(fleet.Inventory, s.Inventory)
}

// PublishRules increments the version of the site's rules and publishes them.
func (s *Site) PublishRules() {
	s.Rules.Version++
	s.publish(fleet.Rules, s.Rules)
}

func (s *Site) publish(kind fleet.Kind, d any) {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // cannot happen: the documents are plain data
	}
	s.Platform.history[kind-1] = append(s.Platform.history[kind-1], b)
	for _, v := range s.VMs {
		v.readDocuments()
	}
}

// pollDocuments reads the documents now and once per pollPeriod.
func (v *VM) pollDocuments() {
	if v.Dead {
		return
	}
	v.readDocuments()
	v.site.After(pollPeriod, v.pollDocuments)
}

// readDocuments delivers the documents that the platform serves and the process has not read yet.
func (v *VM) readDocuments() {
	s, p := v.site, &v.site.Platform
	if p.Down || v.Dead || v.Paused || p.AllowedVMs != nil && !p.AllowedVMs[v.Name] {
		return
	}
	for i, kind := range fleet.Kinds {
		n := max(1, len(p.history[i])-p.Lag)
		if n > len(p.history[i]) || uint64(n) == v.readVersions[i] {
			continue
		}
		b := p.history[i][n-1]
		s.deliver(platformZone, v.Zone, 0, func() {
			v.readVersions[i] = uint64(n)
			s.After(p.Delay, func() {
				v.receive(func() { v.Engine.HandleDocument(v.now(), fleet.Prepare(kind, "platform", b)) })
			})
		})
	}
}
