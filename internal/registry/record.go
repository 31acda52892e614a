package registry

import "time"

// Record is a lifetime as one entry VM tells it to another that does not know its token.
type Record struct {
	// Host is the start of the server.
	Host Host `cbor:"1,keyasint"`
	// FirstRevision is the revision at which the lifetime was first listed.
	FirstRevision uint64 `cbor:"2,keyasint"`
	// Replaced says that the server ended for certain.
	Replaced bool `cbor:"3,keyasint,omitempty"`
}

// Record returns what is known of a token.
func (r *Registry) Record(token uint32) (Record, bool) {
	l := r.tokens[token]
	if l == nil {
		return Record{}, false
	}
	return Record{Host: l.Host, FirstRevision: l.FirstRevision, Replaced: l.Replaced}, true
}

// AddRetired adds a lifetime that the store does not list here. It takes no new flows, but packets of its open flows find it
// and are reset if the server ended for certain. It reports whether the lifetime was unknown.
func (r *Registry) AddRetired(now time.Duration, f *Record) bool {
	r.initMaps()
	token := NewToken(f.Host.Name, f.Host.Started)
	if r.tokens[token] != nil {
		return false
	}
	l := &Lifetime{Host: f.Host, Token: token, State: StateGone, Since: now, FirstSeen: now, FirstRevision: f.FirstRevision, Replaced: f.Replaced}
	for _, other := range []*Lifetime{r.names[l.Name], r.addresses[l.Address]} {
		if other != nil && other.FirstRevision > l.FirstRevision {
			l.Replaced = true
		}
	}
	r.tokens[token] = l
	r.retired[l] = struct{}{}
	return true
}
