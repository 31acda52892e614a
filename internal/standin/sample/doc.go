// Package sample checks the decoders of documents with a valid sample: faulty changes of it are refused with the field
// and the allowed range, and what is accepted can be written and read again.
package sample
