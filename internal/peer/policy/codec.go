package policy

import "github.com/fxamacker/cbor/v2"

// Bounds of decoded data. They are above the largest state, which has a roster of maxRosterSize members and
// maxPartNames names of parts.
const (
	maxDecodedArray   = 1 << 17 // elements
	maxDecodedMap     = 64      // pairs, that is fields of a structure
	maxDecodedNesting = 16
)

// encoding is deterministic, so that all voters write the same bytes for the same state.
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: maxDecodedArray,
		MaxMapPairs:      maxDecodedMap,
		MaxNestedLevels:  maxDecodedNesting,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

// must returns v, and panics on an error. It is for errors that only a bug in this package can cause, such as invalid
// constant options or a structure of this package that can't be encoded.
func must[T any](v T, err error) T {
	if err != nil {
		panic("policy: " + err.Error())
	}
	return v
}

func encode(v any) []byte { return must(encoding.Marshal(v)) }
