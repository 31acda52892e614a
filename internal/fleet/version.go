package fleet

import "github.com/cespare/xxhash/v2"

// Kind is one of the two published documents.
type Kind uint8

// The published documents.
const (
	Inventory Kind = iota + 1
	Rules
)

// Kinds lists all kinds of documents.
var Kinds = [...]Kind{Inventory, Rules}

// String returns the name of the document.
func (k Kind) String() string {
	switch k {
	case Inventory:
		return "inventory"
	case Rules:
		return "rules"
	}
	return "unknown"
}

// Version identifies the content of a document; the zero value means that there is none.
type Version struct {
	// Number is the version number in the document; a greater one replaces a smaller one.
	Number uint64 `cbor:"1,keyasint,omitempty" json:"number"`
	// Hash is the result of HashOf for the document.
	Hash uint64 `cbor:"2,keyasint,omitempty" json:"hash"`
}

// Versions are the versions of both documents that are active in a process.
type Versions struct {
	Inventory Version `cbor:"1,keyasint,omitempty" json:"inventory"`
	Rules     Version `cbor:"2,keyasint,omitempty" json:"rules"`
}

// Of returns the version of one kind.
func (v Versions) Of(kind Kind) Version {
	switch kind {
	case Inventory:
		return v.Inventory
	case Rules:
		return v.Rules
	}
	return Version{}
}

// HashOf returns the XXH64 hash of a document's bytes, as used in Version.Hash.
func HashOf(b []byte) uint64 { return xxhash.Sum64(b) }
