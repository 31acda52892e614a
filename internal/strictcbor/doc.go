// Package strictcbor decodes the CBOR messages of other entry VMs.
//
// A decoder refuses what no sender of this system writes, such as unknown fields, duplicate keys and tags, and
// bounds arrays and nesting, so that a message cannot make the receiver allocate much more than its own size.
package strictcbor
