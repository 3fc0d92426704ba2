package http1

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// serverConn is one connection. It carries one request at a time.
type serverConn struct {
	net.Conn
	addr           string
	dialTime       time.Duration // what it took to come up
	idleSince      time.Time     // idle since then
	idleBefore     time.Duration // how long it stood idle before its present use
	writeStartedAt time.Time     // its present use began
}

// minRest is how long a connection rests after an answer, if there is another: what a backend
// wrongly sends behind an answer comes some milliseconds later, and must not be read as the next one. The rest costs
// connections, since at full speed each carries no more than one request in the time. A backend that has long sent
// nothing of the kind rests as long: the first time that it does, another client would get its answer.
const minRest = 20 * time.Millisecond

// isQuiet reports whether an idle connection is open and has nothing to read: there is no answer
// that bytes on it could belong to.
func (c *serverConn) isQuiet() (quiet bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // a test's
	}
	raw, err := sc.SyscallConn()
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

// wasDead reports whether a connection that was reset so long after a request was written to it can have been dead
// before: what finds nobody at the other end is answered at once. One that breaks later broke under the request, and
// where that is common, not to keep idle ones would cost a new connection for nearly every attempt.
func (c *serverConn) wasDead(after time.Duration) bool { return after <= 2*c.dialTime+minRest/8 }
