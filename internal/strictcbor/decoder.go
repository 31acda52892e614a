package strictcbor

import "github.com/fxamacker/cbor/v2"

const maxMapPairs = 16 // no message has more fields

// NewDecoder returns a decoder that takes arrays of up to arrays elements and up to levels nested levels.
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
		panic(err) // The options are constants of the callers.
	}
	return mode
}
