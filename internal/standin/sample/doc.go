// Package sample tests the decoders of documents with a valid sample. A decoder must refuse faulty changes of the
// sample with an error that has the field and the allowed values, and accept again each accepted document after it is
// encoded.
package sample
