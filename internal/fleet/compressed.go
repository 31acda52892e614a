package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/document"
)

// minCompressSize is the size in bytes from which a document is compressed; a smaller one fits into a few datagrams.
const minCompressSize = 2048

// compress compresses a document for peers; it returns nil for a small one. If the platform reaches only one process
// and all others get the documents from peers, 740 changes of 1 MB a day would take 11 KB/s per process uncompressed,
// almost half of the control budget.
func compress(b []byte) []byte {
	if len(b) < minCompressSize {
		return nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return bytes.Clone(compressed.Bytes())
}

// decompress returns at most one byte more than the size limit of a document; the decoder then refuses the document as
// too large.
func decompress(compressed []byte) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), document.MaxSize+1))
	return b, errors.Annotate(err, "decompressing document")
}

// PrepareCompressed is like Prepare for the compressed bytes that Catalog.Compressed returned at a peer.
func PrepareCompressed(kind Kind, source string, compressed []byte) *Candidate {
	b, err := decompress(compressed)
	if err != nil {
		return &Candidate{kind: kind, source: source, version: Version{Hash: HashOf(compressed)}, err: err}
	}
	return Prepare(kind, source, b)
}

// Compressed returns the compressed bytes of the active document, or nil if there is none or it is small; they must not
// be modified.
func (c *Catalog) Compressed(kind Kind) []byte {
	if kind != Inventory && kind != Rules {
		return nil
	}
	return c.documents[kind-1].compressed
}
