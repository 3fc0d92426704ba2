package ldap

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// clientReader is a client's connection with a second way to read: what has arrived, without waiting. A read whose deadline
// has passed returns an error though bytes may have arrived; a session that is about to end looks for them. It takes the
// connection's place under TLS too. Its reading goroutine alone may call Read and setArrivedOnly.
type clientReader struct {
	net.Conn
	arrivedOnly bool
	budget      int // bytes that may still be read, where arrivedOnly
}

// setArrivedOnly has reads return what has arrived, maxBytes at most, and a timeout error where there is nothing; or, with
// 0, wait as usual.
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

// CloseWrite ends what is sent to the client, if the connection can be half closed.
func (r *clientReader) CloseWrite() error {
	if c, ok := r.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// readArrived reads from a socket without waiting, whatever its deadline. It returns os.ErrDeadlineExceeded where nothing has
// arrived.
func readArrived(conn net.Conn, p []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded // no socket: a test's
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
	case err != nil: // it was closed on this side
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
