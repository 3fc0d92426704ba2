package core

import "runtime"

// Holder is implemented by a Protocol that buffers bytes of its peers within budgets.
type Holder interface {
	// HeldBytes returns the bytes of clients' requests and of servers' responses that are buffered now. It may be
	// called at any time.
	HeldBytes() (requests, responses int64)
}

// logHeld logs what the agent holds for its clients and servers, with the summary.
func (a *Agent) logHeld() {
	counts := a.limiter.Counts()
	var requests, responses int64
	if h, ok := a.protocol.(Holder); ok {
		requests, responses = h.HeldBytes()
	}
	a.log.Info("held", "clients", counts.Open, "fresh", counts.Fresh, "idle", counts.Idle,
		"request_bytes", requests, "response_bytes", responses, "goroutines", runtime.NumGoroutine(),
		"memory_short", a.loop.MemoryShort())
}
