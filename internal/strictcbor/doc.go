// Package strictcbor creates decoders for the CBOR messages of other entry VMs.
//
// A decoder rejects anything that no sender of this system writes, such as unknown fields, duplicate keys and tags. It
// limits the sizes of arrays and the nesting, so that a message cannot make the receiver allocate much more than its
// own size.
package strictcbor
