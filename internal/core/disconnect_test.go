package core

import (
	"context"
	"net"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// Guards against an attempt for a client whose close is behind unread bytes as the attempt begins.
func TestCloseBehindUnreadBytesIsNoticed(t *testing.T) {
	ln := testkit.Listen(t)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := client.Write(make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	testkit.WaitFor(t, "unread bytes", func() bool { n, _ := UnreadBytes(accepted); return n >= hidingBytes })
	if Disconnected(accepted) {
		t.Fatal("the system has received all of it, so nothing hides the close")
	}
	time.AfterFunc(maxSettle/5, func() {
		for buf := make([]byte, 64<<10); ; {
			if _, err := accepted.Read(buf); err != nil {
				return
			}
		}
	})
	r := newPendingRequest("1")
	r.Client = accepted
	a := &Attempt{Request: r.Request, Context: context.Background()}
	a.SettleClient()
	if !Disconnected(accepted) {
		t.Error("the attempt would begin for a client that has left")
	}
}
