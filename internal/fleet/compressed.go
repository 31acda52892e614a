package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/document"
)

// minCompressSize is the size in bytes from which a document is compressed; smaller ones fit a few datagrams anyway.
const minCompressSize = 2048

// compress compresses a document for peers. At 740 changes of 1 MB a day, whole documents would be 11 KB/s for each process
// when the platform reaches only one of them, almost half of the control budget.
func compress(b []byte) []byte {
	if len(b) < minCompressSize {
		return nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	// A buffer takes all writes.
	_, _ = w.Write(b)
	_ = w.Close()
	return bytes.Clone(compressed.Bytes())
}

// decompress reads at most one byte more than a document may have, which then fails as too large.
func decompress(compressed []byte) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), document.MaxSize+1))
	return b, errors.Annotate(err, "compressed document")
}

// PrepareCompressed is Prepare for a document that Compressed returned at a peer.
func PrepareCompressed(kind Kind, source string, compressed []byte) *Candidate {
	b, err := decompress(compressed)
	if err != nil {
		return &Candidate{kind: kind, source: source, version: Version{Hash: HashOf(compressed)}, err: err}
	}
	return Prepare(kind, source, b)
}

// Compressed returns the compressed bytes of the document in force, nil if there is none or it is small; they must not
// be changed.
func (c *Catalog) Compressed(kind Kind) []byte {
	if kind != Inventory && kind != Rules {
		return nil
	}
	return c.documents[kind-1].compressed
}
