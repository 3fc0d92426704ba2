package testkit

import (
	"context"
	"net"
	"sync"
	"time"
)

// HeldWrite is a connection whose first write is held between its deadline check and the system call, as happens when
// the machine does not schedule the process at that moment. A deadline that is set in the meantime is too late for
// that write.
type HeldWrite struct {
	net.Conn
	Entered chan struct{} // closed when the write begins
	Release chan struct{} // closed by the test to let the write continue

	mu      sync.Mutex
	once    sync.Once
	holding bool
}

// NewHeldWrite wraps a connection on which nothing has been written yet.
func NewHeldWrite(c net.Conn) *HeldWrite {
	return &HeldWrite{Conn: c, Entered: make(chan struct{}), Release: make(chan struct{})}
}

// HoldWrites returns a dialer that wraps each of its connections in a HeldWrite and sends the HeldWrite to the test.
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

// SetDeadline has no effect while the first write is held.
func (h *HeldWrite) SetDeadline(t time.Time) error {
	if h.isHolding() {
		return nil
	}
	return h.Conn.SetDeadline(t)
}

// SetWriteDeadline has no effect while the first write is held.
func (h *HeldWrite) SetWriteDeadline(t time.Time) error {
	if h.isHolding() {
		return nil
	}
	return h.Conn.SetWriteDeadline(t)
}
