package registry

import (
	"time"

	"github.com/masticspar/masticspar/internal/history"
)

// Record describes a lifetime in a reply to an entry VM that received a packet with an unknown token.
type Record struct {
	// Host is the last entry of the server.
	Host Host `cbor:"1,keyasint"`
	// First is the position at which the lifetime was first listed.
	First history.Position `cbor:"2,keyasint"`
	// Replaced reports whether the server has ended and nothing answers for it.
	Replaced bool `cbor:"3,keyasint,omitempty"`
}

// Record returns the record of the lifetime with the given token, and false if the token is unknown.
func (r *Registry) Record(token uint32) (Record, bool) {
	l := r.tokens[token]
	if l == nil {
		return Record{}, false
	}
	return Record{Host: l.Host, First: l.First, Replaced: l.Replaced}, true
}

// AddRetired adds a lifetime that the store does not list. It receives no new flows, but packets of its open flows are
// forwarded to it, or reset if it was replaced. AddRetired reports whether the lifetime was unknown.
func (r *Registry) AddRetired(now time.Duration, record *Record) bool {
	r.initMaps()
	token := NewToken(record.Host.Name, record.Host.Started)
	if r.tokens[token] != nil {
		return false
	}
	l := &Lifetime{
		Host: record.Host, Token: token, State: StateGone, Since: now, FirstSeen: now, First: record.First,
		Last: record.First, Replaced: record.Replaced,
	}
	for _, other := range []*Lifetime{r.names[l.Name], r.addresses[l.Address]} {
		if other != nil && r.replaces(other, l) {
			r.markReplaced(l, other)
		}
	}
	r.tokens[token] = l
	r.retired[l] = struct{}{}
	return true
}
