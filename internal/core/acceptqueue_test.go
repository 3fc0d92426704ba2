package core

import (
	"errors"
	"net"
	"path/filepath"
	"syscall"
	"testing"
)

// All connections in the queue must be accepted. Once acceptQueued has found the queue empty, no client can connect any
// more, so that no connection remains in the queue.
func TestEmptyQueueEndsTheListener(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		t.Run(network, func(t *testing.T) {
			address := "127.0.0.1:0"
			if network == "unix" {
				address = filepath.Join(t.TempDir(), "s")
			}
			l, err := net.Listen(network, address)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			const queued = 3
			for range queued {
				c, err := net.Dial(network, l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
			if !interruptAccept(l) {
				t.Fatal("the listener supports no deadline")
			}
			for range queued {
				c, err := acceptQueued(l)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if _, ok := c.(streamConn); !ok {
					t.Errorf("%T can't be half closed", c)
				}
			}
			if _, err := acceptQueued(l); !errors.Is(err, errQueueEmpty) {
				t.Errorf("accept from an empty queue: %v", err)
			}
			if c, err := net.Dial(network, l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
				if err == nil {
					c.Close()
				}
				t.Errorf("dial: %v", err)
			}
		})
	}
}
