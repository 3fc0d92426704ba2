package testkit

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// HalfClose closes the sending side of a client's TCP connection, and returns once the peer's TCP stack has
// acknowledged the FIN.
func HalfClose(t testing.TB, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	const established, finWait1 = 1, 4 // TCP states as numbered by Linux
	WaitFor(t, "the FIN to be acknowledged", func() bool {
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
