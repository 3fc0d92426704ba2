package core

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// errQueueEmpty is returned if no connection is in the queue, or if it can't be read.
var errQueueEmpty = errors.New("no connection in the queue")

// interruptAccept ends an Accept of a listener that is waiting, by setting a deadline that has passed. It reports
// false if the listener does not support deadlines.
func interruptAccept(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(PastDeadline) == nil
}

// acceptQueued accepts a connection that is in the kernel's queue, without waiting and regardless of the listener's
// deadline. If the queue is empty, it makes the socket stop listening, for all processes that have it open, and
// returns errQueueEmpty. The stop follows right after the check, because a connection that arrives between the two is
// reset.
func acceptQueued(l net.Listener) (net.Conn, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, errQueueEmpty
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		accepted, acceptErr = acceptOrStop(int(fd))
	})
	switch {
	case err != nil: // the listener was closed
		return nil, err
	case acceptErr == syscall.EAGAIN:
		return nil, errQueueEmpty
	case acceptErr != nil:
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close()
	return net.FileConn(file) // a copy, with which the runtime waits for I/O
}

// acceptOrStop accepts a connection, or makes the socket stop listening and returns EAGAIN.
func acceptOrStop(fd int) (accepted int, err error) {
	for {
		accepted, _, err = syscall.Accept4(fd, syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		switch err {
		case syscall.EAGAIN:
			_ = syscall.Shutdown(fd, syscall.SHUT_RD) // closing the listener does the same later
			return 0, err
		case syscall.EINTR:
		default:
			return accepted, err
		}
	}
}
