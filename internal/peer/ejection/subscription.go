package ejection

import (
	"bytes"
	"hash/fnv"
	"slices"
)

// Reports about a server go to the subscribers of its list: the members that read the list. Each member announces the
// lists that it reads in its membership record. All members have these records, so that no additional messages are
// needed. A member of an earlier version announces no lists and counts as a subscriber of all lists.

// SubscriptionFilter is a compressed set of the lists that a member reads. Lookups may return false positives, but no
// false negatives. A nil filter includes all lists.
type SubscriptionFilter []byte

// The first byte of a filter is its encoding. A filter with an unknown encoding includes all lists.
const (
	filterHashes = 1 // truncated hashes of the lists, ascending: exact except for a collision in 16 million
	filterBloom  = 2 // a Bloom filter (Bloom 1970), for more lists than fit otherwise
)

const (
	// maxFilterBytes is the maximum size of the metadata in a membership record.
	maxFilterBytes = 128
	// hashBytes is the length of a truncated hash, so that 42 lists fit. Longer hashes collide less often, and fewer of
	// them fit.
	hashBytes = 3
	// bloomBits is the number of bits after the encoding byte. A filter of 150 lists has one false positive in 25 other
	// lists, and a filter of 1,000 lists includes nearly all lists.
	bloomBits = 8 * (maxFilterBytes - 1)
	// bloomHashes is the number of bits that each list sets: near the optimum for 150 lists.
	bloomHashes = 5
)

// NewSubscriptionFilter returns the filter for a member that reads these lists.
func NewSubscriptionFilter(sources []string) SubscriptionFilter {
	if len(sources) <= (maxFilterBytes-1)/hashBytes {
		return newHashFilter(sources)
	}
	f := make(SubscriptionFilter, maxFilterBytes)
	f[0] = filterBloom
	for _, s := range sources {
		forEachBloomBit(sourceHash(s), func(at int, bit byte) bool {
			f[1+at] |= bit
			return true
		})
	}
	return f
}

func newHashFilter(sources []string) SubscriptionFilter {
	hashes := make([][hashBytes]byte, 0, len(sources))
	for _, s := range sources {
		hashes = append(hashes, shortHash(sourceHash(s)))
	}
	slices.SortFunc(hashes, func(a, b [hashBytes]byte) int { return bytes.Compare(a[:], b[:]) })
	f := SubscriptionFilter{filterHashes}
	for _, h := range hashes {
		f = append(f, h[:]...)
	}
	return f
}

// MayInclude reports whether the filter may include a list. It never returns false for a list that the member reads.
func (f SubscriptionFilter) MayInclude(source string) bool {
	return f.mayIncludeHash(sourceHash(source))
}

func (f SubscriptionFilter) mayIncludeHash(hash uint64) bool {
	switch {
	case len(f) > 0 && f[0] == filterHashes && len(f)%hashBytes == 1:
		return f.containsShortHash(shortHash(hash))
	case len(f) == maxFilterBytes && f[0] == filterBloom:
		return forEachBloomBit(hash, func(at int, bit byte) bool { return f[1+at]&bit != 0 })
	}
	return true
}

func (f SubscriptionFilter) containsShortHash(hash [hashBytes]byte) bool {
	for at := 1; at < len(f); at += hashBytes {
		if [hashBytes]byte(f[at:]) == hash {
			return true
		}
	}
	return false
}

// forEachBloomBit calls visit with the byte index and the bit of each hash until visit returns false. It reports
// whether all calls returned true. Bits are derived by double hashing (Kirsch & Mitzenmacher 2006).
func forEachBloomBit(hash uint64, visit func(at int, bit byte) bool) bool {
	first, step := uint32(hash), uint32(hash>>32)|1
	for i := range uint32(bloomHashes) {
		n := (first + i*step) % bloomBits
		if !visit(int(n/8), 1<<(n%8)) {
			return false
		}
	}
	return true
}

func shortHash(hash uint64) [hashBytes]byte {
	return [hashBytes]byte{byte(hash), byte(hash >> 8), byte(hash >> 16)}
}

func sourceHash(source string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(source))
	return mixBits(h.Sum64())
}
