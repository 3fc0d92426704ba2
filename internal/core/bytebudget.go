package core

import "sync/atomic"

// ByteBudget bounds the bytes that its users buffer at once. It may be used from any goroutine.
type ByteBudget struct {
	free, total atomic.Int64
	memoryShort func() bool // nil: the process never is
}

// NewByteBudget returns a budget of the given number of bytes. It grants only a part of them while memoryShort, unless
// that is nil, reports that the process is short of memory.
func NewByteBudget(bytes int, memoryShort func() bool) *ByteBudget {
	b := &ByteBudget{memoryShort: memoryShort}
	b.Resize(bytes)
	return b
}

// Resize changes the size of the budget. If more bytes are acquired than the new size, they remain acquired, and no
// more can be acquired until enough are released.
func (b *ByteBudget) Resize(bytes int) { b.free.Add(int64(bytes) - b.total.Swap(int64(bytes))) }

// Acquire acquires n bytes, and reports false if fewer are free, or if the process is short of memory and too many are
// acquired already.
func (b *ByteBudget) Acquire(n int) bool {
	free := b.free.Add(-int64(n))
	total := b.total.Load()
	short := total-free > total/shortageDivisor && b.memoryShort != nil && b.memoryShort()
	if free >= 0 && !short {
		return true
	}
	b.Release(n)
	return false
}

// Release returns acquired bytes to the budget.
func (b *ByteBudget) Release(n int) { b.free.Add(int64(n)) }

// Used returns the number of bytes that are acquired.
func (b *ByteBudget) Used() int64 { return b.total.Load() - b.free.Load() }

// Free returns the number of bytes that can be acquired. It is negative after the budget was made smaller than the
// acquired bytes.
func (b *ByteBudget) Free() int64 { return b.free.Load() }
