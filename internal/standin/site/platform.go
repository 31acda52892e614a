package site

import (
	"encoding/json"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

// pollPeriod is the time between two reads of a watch that failed or that the platform answers with an old copy.
const pollPeriod = time.Second

// Platform is the configuration service; its fields are its faults.
type Platform struct {
	// Down makes it answer nothing.
	Down bool
	// Delay is added to each answer.
	Delay time.Duration
	// Lag is the number of publications that its answers lag behind.
	Lag int
	// AllowedVMs are the names of the entry VMs that it answers; nil answers all.
	AllowedVMs map[string]bool

	history [len(fleet.Kinds)][][]byte
}

// PublishInventory publishes the inventory of the site with the next version.
func (s *Site) PublishInventory() {
	s.Inventory.Version++
	s.publish(fleet.Inventory, s.Inventory)
}

// PublishRules publishes the rules of the site with the next version.
func (s *Site) PublishRules() {
	s.Rules.Version++
	s.publish(fleet.Rules, s.Rules)
}

func (s *Site) publish(kind fleet.Kind, d any) {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // The documents are plain data.
	}
	s.Platform.history[kind-1] = append(s.Platform.history[kind-1], b)
	for _, v := range s.VMs {
		v.readDocuments()
	}
}

// pollDocuments reads the documents now and after each period.
func (v *VM) pollDocuments() {
	if v.Dead {
		return
	}
	v.readDocuments()
	v.site.After(pollPeriod, v.pollDocuments)
}

// readDocuments delivers what the platform serves if the process has not readDocuments it yet.
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
