package policy

import "github.com/fxamacker/cbor/v2"

// Bounds of what is decoded. They are above what the largest state has: a roster of maxRosterSize, maxPartNames names.
const (
	maxDecodedArray   = 1 << 17 // elements
	maxDecodedMap     = 64      // pairs: the fields of a structure
	maxDecodedNesting = 16
)

// The encoding is deterministic, so that all voters write the same bytes for the same state.
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: maxDecodedArray,
		MaxMapPairs:      maxDecodedMap,
		MaxNestedLevels:  maxDecodedNesting,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

// must panics on an error that only a mistake in this package can cause: of fixed options, or of a structure of its own.
func must[T any](v T, err error) T {
	if err != nil {
		panic("policy: " + err.Error())
	}
	return v
}

func encode(v any) []byte { return must(encoding.Marshal(v)) }
