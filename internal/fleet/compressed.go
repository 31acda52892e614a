package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/document"
)

// packedFrom is the size in bytes from which a document is compressed; smaller ones fit a few datagrams anyway.
const packedFrom = 2048

// pack compresses a document for peers. At 740 changes of 1 MB a day, whole documents would be 11 KB/s for each process
// when the platform reaches only one of them, almost half of the control budget.
func pack(b []byte) []byte {
	if len(b) < packedFrom {
		return nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	// A buffer takes all writes.
	_, _ = w.Write(b)
	_ = w.Close()
	return bytes.Clone(packed.Bytes())
}

// unpack reads at most one byte more than a document may have, which then fails as too large.
func unpack(packed []byte) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), document.MaxSize+1))
	return b, errors.Annotate(err, "compressed document")
}

// PrepareCompressed is Prepare for a document that Compressed returned at a peer.
func PrepareCompressed(kind Kind, source string, packed []byte) *Candidate {
	b, err := unpack(packed)
	if err != nil {
		return &Candidate{kind: kind, source: source, version: Version{Hash: HashOf(packed)}, err: err}
	}
	return Prepare(kind, source, b)
}

// Compressed returns the compressed bytes of the document in force, nil if there is none or it is small; they must not
// be changed.
func (p *Catalog) Compressed(kind Kind) []byte {
	if kind != Inventory && kind != Rules {
		return nil
	}
	return p.documents[kind-1].packed
}
