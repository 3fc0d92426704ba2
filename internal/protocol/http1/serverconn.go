package http1

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// minRest is how long a connection rests after a response, if there is another one to use: what a server wrongly sends
// behind a response comes some milliseconds later, and must not be read as the next response (RFC 9112, 9.2).
// Resting costs connections, since at full speed each carries no more than one request in the time. A server that has long
// sent nothing of the kind rests as long: the first time that it does, another client would get its response.
const minRest = 20 * time.Millisecond

// serverConn is one connection to a server. It carries one request at a time, and belongs to whoever acquired it.
type serverConn struct {
	net.Conn
	addr           string
	dialTime       time.Duration // what it took to open
	idleSince      time.Time
	idleBefore     time.Duration // how long it was idle before its present use; 0: it is new
	writeStartedAt time.Time     // when its present use began
}

// isQuiet reports whether an idle connection is open and has nothing to read: bytes on it would belong to no request.
func (c *serverConn) isQuiet() (quiet bool) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // a test's connection
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// wasDead reports whether a connection that was reset so long after the request was written can have been dead before: a
// write to a closed peer is answered by a reset within a round trip. One that breaks later broke under the request; where
// that is common, to keep idle connections for less time would cost a new connection for nearly every attempt.
func (c *serverConn) wasDead(after time.Duration) bool { return after <= 2*c.dialTime+minRest/8 }
