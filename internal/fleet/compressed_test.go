package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/document"
)

func largeRules(version int) []byte {
	var names bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&names, `"host-%05d",`, i)
	}
	return rulesOf(version, `,"leaving":[`+names.String()+`"last"]`)
}

// Guards against a document that changes when a peer forwards it in compressed form: equal versions with other content
// conflict.
func TestCompressedDocumentIsUnchanged(t *testing.T) {
	is := is.New(t)
	sender, receiver := &Catalog{}, &Catalog{}
	accept(t, sender, Rules, largeRules(7))
	compressed := sender.Compressed(Rules)
	is.True(len(compressed) > 0 && len(compressed) < len(sender.Document(Rules))/2)
	changed, err := receiver.Accept(PrepareCompressed(Rules, "peer", compressed))
	is.NoErr(err)
	is.True(changed)
	is.Equal(receiver.Versions(), sender.Versions())
	is.True(bytes.Equal(receiver.Document(Rules), sender.Document(Rules)))
	is.True(bytes.Equal(receiver.Compressed(Rules), compressed)) // The receiver can forward the document, too.
}

// Guards against compressing a small document, and against compressed bytes that remain after their document was
// replaced.
func TestSmallDocumentIsNotCompressed(t *testing.T) {
	is := is.New(t)
	catalog := &Catalog{}
	is.Equal(catalog.Compressed(Rules), nil)
	accept(t, catalog, Rules, largeRules(1))
	accept(t, catalog, Rules, rulesOf(2, ""))
	is.Equal(catalog.Compressed(Rules), nil)
	is.Equal(catalog.Compressed(Kind(9)), nil)
}

// Guards against compressed bytes from a peer that exhaust the memory of a process or activate a part of a document:
// they are truncated, corrupt or decompress to 64 times the size limit.
func TestFaultyCompressedDocumentsAreInvalid(t *testing.T) {
	is := is.New(t)
	good := compress(largeRules(1))
	var huge bytes.Buffer
	w, err := flate.NewWriter(&huge, flate.BestSpeed)
	is.NoErr(err)
	for range 64 {
		_, _ = w.Write(make([]byte, document.MaxSize))
	}
	is.NoErr(w.Close())
	for _, b := range [][]byte{good[:len(good)/2], append([]byte{0xff}, good...), huge.Bytes(), {}} {
		catalog := &Catalog{}
		changed, err := catalog.Accept(PrepareCompressed(Rules, "peer", b))
		is.True(!changed)
		is.True(errors.Is(err, ErrInvalid))
	}
	b, err := decompress(huge.Bytes())
	is.NoErr(err)
	is.Equal(len(b), document.MaxSize+1)
}
