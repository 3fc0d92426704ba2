package core

// shortageDivisor divides the bounds on open requests and on buffered bytes while the process is short of memory.
// What is left keeps usual clients served where the limit is too small for the process itself.
const shortageDivisor = 4

// MemoryShort reports whether the process has so little memory left that it should take on no more than it has to. It
// may be called from any goroutine.
func (l *Loop) MemoryShort() bool { return l.memoryShort != nil && l.memoryShort() }

// MayOpen reports whether one more request may be open beside open-1 others, if at most limit may be open.
func (l *Loop) MayOpen(open, limit int64) bool {
	if open > limit {
		return false
	}
	return open <= max(minOpenRequests, limit/shortageDivisor) || !l.MemoryShort()
}
