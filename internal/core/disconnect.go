package core

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Disconnected reports whether the end of the other side's data (FIN), or a reset, has been received on a connection,
// even if there is unread data. A client that has closed only its sending side can't be distinguished from one that has
// closed the connection: see docs/design/crossings.md. If a client has sent more data than the system buffers, its
// close is not detected, because the end arrives only after the unread data.
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

// UnreadBytes returns how many bytes have been received on a connection and not been read. known is false if the system
// does not tell.
func UnreadBytes(nc net.Conn) (n int, known bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false // a connection of a test
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return n, err == nil && ioctlErr == nil
}

const (
	// hidingBytes is how many unread bytes, at least, may hide a client's close: with fewer, the receive buffer is not
	// full, and the close has arrived.
	hidingBytes = 16 << 10
	// maxSettle is how long an attempt waits for such bytes to be read, and settleInterval how often it looks.
	maxSettle      = 100 * time.Millisecond
	settleInterval = time.Millisecond
)

// SettleClient waits while so much that the request's client has sent is unread that a close may stand behind it. The
// reader of the client's connection reads on meanwhile. A protocol calls it before the first write of an attempt, while
// it holds nothing that others wait for. It has no effect on an upload, whose rest is unread until its attempt reads it.
func (a *Attempt) SettleClient() {
	if a.Client == nil || a.Upload {
		return
	}
	for end := time.Now().Add(maxSettle); time.Now().Before(end) && a.Context.Err() == nil; time.Sleep(settleInterval) {
		if unread, known := UnreadBytes(a.Client); !known || unread < hidingBytes || Disconnected(a.Client) {
			return
		}
	}
}

// Disconnected reports whether the request's client has disconnected, and if so notifies the loop. It checks the socket
// itself, because the goroutine that reads the client's connection may be delayed or waiting for something else.
func (a *Attempt) Disconnected() bool {
	if a.Client == nil || !Disconnected(a.Client) {
		return false
	}
	a.loop.ClientDisconnected(a.Request)
	return true
}
