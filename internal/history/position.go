package history

import (
	"cmp"
	"fmt"
)

// Position is a revision in one era of a store. The zero value precedes all others.
type Position struct {
	// Era is the number of times that the store was restored, from an arbitrary start.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Revision increases with each change of one era.
	Revision uint64 `cbor:"2,keyasint"`
}

// Compare returns -1 if p was read from the store before q, +1 if it was read after q, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether the change at p was certainly made after the one at q. It returns false for a lower revision of
// a later era, which can be from the copy that the store was restored from, or have been given out again.
func (p Position) After(q Position) bool { return p.Era >= q.Era && p.Revision > q.Revision }

// String returns the position in the form era/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
