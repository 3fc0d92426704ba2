package core

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Disconnected reports whether the other side of a connection is known to have ended it, whatever is unread on it: by an
// end of what it sends (FIN) or a reset. An end of its sending alone is none that a close could be told from, see
// docs/design/crossings.md. One that has sent more than the system holds unread is not known to have: its end is behind
// that.
func Disconnected(nc net.Conn) (gone bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false // a test's
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	const ends = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(fds, 0)
		}
		gone = n > 0 && err == nil && fds[0].Revents&ends != 0
	})
	return err != nil || gone // an error: it is closed on this side
}

// Disconnected reports whether the request's client has left, and if so tells the loop. The socket is asked: whoever reads
// the client's connection may be behind, or wait for something else.
func (a *Attempt) Disconnected() bool {
	if a.Client == nil || !Disconnected(a.Client) {
		return false
	}
	a.loop.ClientDisconnected(a.Request)
	return true
}
