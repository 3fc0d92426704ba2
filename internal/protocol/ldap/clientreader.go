package ldap

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// clientReader is a client's connection with a second way of reading, which returns the bytes that have arrived and
// never waits. A session that is about to end needs it, because a read whose deadline has passed returns an error
// even if bytes have arrived. A TLS connection is layered on top of the clientReader too. Only the session's reader
// goroutine may call Read and setArrivedOnly.
type clientReader struct {
	net.Conn
	arrivedOnly bool
	budget      int // how many bytes may still be read while arrivedOnly is set
}

// setArrivedOnly sets how Read works from now on. With maxBytes > 0, reads return bytes that have arrived, maxBytes
// in total at most, and a timeout error if there are none. With 0, reads wait as usual.
func (r *clientReader) setArrivedOnly(maxBytes int) {
	r.arrivedOnly = maxBytes > 0
	r.budget = maxBytes
}

// Read implements net.Conn.
func (r *clientReader) Read(p []byte) (int, error) {
	if !r.arrivedOnly {
		return r.Conn.Read(p)
	}
	if r.budget <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := readArrived(r.Conn, p)
	r.budget -= n
	return n, err
}

// CloseWrite closes the sending side of the connection, if the connection can be half closed.
func (r *clientReader) CloseWrite() error {
	if c, ok := r.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// readArrived reads from a socket without waiting, regardless of its read deadline. It returns os.ErrDeadlineExceeded
// if no bytes have arrived.
func readArrived(conn net.Conn, p []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded // not a socket: a test's connection
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, readErr = syscall.Read(int(fd), p)
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), p)
		}
	})
	switch {
	case err != nil: // the socket was closed on this side
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}
