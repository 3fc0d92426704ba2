package core

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// errQueueEmpty says that no connection waits to be accepted.
var errQueueEmpty = errors.New("no connection in the queue")

// interruptAccept ends a listener's Accept that waits, by a deadline that has passed. It reports false if the listener has
// none.
func interruptAccept(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(LongAgo) == nil
}

// acceptQueued accepts a connection that has come about, without waiting and whatever the listener's deadline. It returns
// errQueueEmpty where there is none.
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
		accepted, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		for acceptErr == syscall.EINTR {
			accepted, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		}
	})
	switch {
	case err != nil: // it was closed
		return nil, err
	case acceptErr == syscall.EAGAIN:
		return nil, errQueueEmpty
	case acceptErr != nil:
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close()
	return net.FileConn(file) // a copy, by which the runtime waits
}
