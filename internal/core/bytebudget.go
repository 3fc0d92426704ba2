package core

import "sync/atomic"

// ByteBudget bounds the bytes that are buffered at once by those that acquire them from it. It may be used from any
// goroutine.
type ByteBudget struct{ free, total atomic.Int64 }

// NewByteBudget has so many bytes.
func NewByteBudget(bytes int) *ByteBudget {
	b := &ByteBudget{}
	b.Resize(bytes)
	return b
}

// Resize changes how many bytes there are. Bytes acquired past that stay so, and no more can be until there are enough.
func (b *ByteBudget) Resize(bytes int) { b.free.Add(int64(bytes) - b.total.Swap(int64(bytes))) }

// Acquire takes bytes, and reports false if there are not so many.
func (b *ByteBudget) Acquire(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives acquired bytes back.
func (b *ByteBudget) Release(n int) { b.free.Add(int64(n)) }

// Free is how many bytes can be acquired.
func (b *ByteBudget) Free() int64 { return b.free.Load() }
