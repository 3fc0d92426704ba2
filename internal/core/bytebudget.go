package core

import "sync/atomic"

// ByteBudget bounds the bytes that its users buffer at once. It may be used from any goroutine.
type ByteBudget struct{ free, total atomic.Int64 }

// NewByteBudget returns a budget of so many bytes.
func NewByteBudget(bytes int) *ByteBudget {
	b := &ByteBudget{}
	b.Resize(bytes)
	return b
}

// Resize changes the size of the budget. Bytes that were acquired beyond the new size stay acquired, and no more can
// be acquired until enough are free.
func (b *ByteBudget) Resize(bytes int) { b.free.Add(int64(bytes) - b.total.Swap(int64(bytes))) }

// Acquire acquires n bytes, and reports false if fewer are free.
func (b *ByteBudget) Acquire(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives acquired bytes back.
func (b *ByteBudget) Release(n int) { b.free.Add(int64(n)) }

// Free returns how many bytes can be acquired.
func (b *ByteBudget) Free() int64 { return b.free.Load() }
