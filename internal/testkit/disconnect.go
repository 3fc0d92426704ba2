package testkit

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// HalfClose ends a client's sending on a TCP connection, and returns once the other system has said that it knows.
func HalfClose(t testing.TB, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	const established, finWait1 = 1, 4 // of Linux's states of TCP
	WaitFor(t, "the end to be known", func() bool {
		state := tcpState(t, c.(*net.TCPConn))
		return state != established && state != finWait1
	})
}

func tcpState(t testing.TB, c *net.TCPConn) (state uint8) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if e := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}); e != nil || err != nil {
		t.Fatal(e, err)
	}
	return state
}
