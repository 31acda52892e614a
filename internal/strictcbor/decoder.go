package strictcbor

import "github.com/fxamacker/cbor/v2"

// maxMapPairs is the greatest number of fields in a map; no message has more.
const maxMapPairs = 16

// NewDecoder returns a decoder that accepts arrays of up to maxElements elements and up to maxLevels nested levels. It
// panics if the CBOR library does not support these limits.
func NewDecoder(maxElements, maxLevels int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8RejectInvalid,
		MaxNestedLevels:   maxLevels,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // The limits are constants of the callers.
	}
	return mode
}
