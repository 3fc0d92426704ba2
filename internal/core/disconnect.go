package core

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Disconnected reports whether the other side of a connection is known to have closed it, by an end of its data
// (FIN) or a reset, even if data is unread. A client that closed only its sending side can't be told from one that
// closed the connection, see docs/design/crossings.md. A client that has sent more than the system buffers is not
// known to have closed the connection, because the end comes after the unread data.
func Disconnected(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false // a connection of a test
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	const closeEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(fds, 0)
		}
		closed = n > 0 && err == nil && fds[0].Revents&closeEvents != 0
	})
	return err != nil || closed // an error means that it is closed on this side
}

// Disconnected reports whether the request's client has disconnected, and if so tells the loop. It asks the socket,
// because the goroutine that reads the client's connection may be behind or wait for something else.
func (a *Attempt) Disconnected() bool {
	if a.Client == nil || !Disconnected(a.Client) {
		return false
	}
	a.loop.ClientDisconnected(a.Request)
	return true
}
