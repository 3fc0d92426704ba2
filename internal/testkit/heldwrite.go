package testkit

import (
	"context"
	"net"
	"sync"
	"time"
)

// HeldWrite is a connection whose first write stands still between its checks and the system call, as that of a process
// which the machine does not run in that moment. A deadline that is set meanwhile comes too late for that write.
type HeldWrite struct {
	net.Conn
	Entered chan struct{} // closed as the write begins
	Release chan struct{} // the test closes it

	mu      sync.Mutex
	once    sync.Once
	holding bool
}

// NewHeldWrite wraps a connection on which nothing has been written.
func NewHeldWrite(c net.Conn) *HeldWrite {
	return &HeldWrite{Conn: c, Entered: make(chan struct{}), Release: make(chan struct{})}
}

// HoldWrites is a dialer that hands each of its connections to the test, with its first write to be held.
func HoldWrites(held chan<- *HeldWrite) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		h := NewHeldWrite(c)
		held <- h
		return h, nil
	}
}

func (h *HeldWrite) Write(p []byte) (int, error) {
	h.once.Do(func() {
		h.setHolding(true)
		close(h.Entered)
		<-h.Release
		h.setHolding(false)
	})
	return h.Conn.Write(p)
}

func (h *HeldWrite) setHolding(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holding = on
}

func (h *HeldWrite) isHolding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holding
}

// SetDeadline does not reach the write that is held.
func (h *HeldWrite) SetDeadline(t time.Time) error {
	if h.isHolding() {
		return nil
	}
	return h.Conn.SetDeadline(t)
}

// SetWriteDeadline does not reach the write that is held.
func (h *HeldWrite) SetWriteDeadline(t time.Time) error {
	if h.isHolding() {
		return nil
	}
	return h.Conn.SetWriteDeadline(t)
}
