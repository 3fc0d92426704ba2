package http1

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// reuseDelay is how long a connection is not reused after a response, if another one can be used. Bytes that a server
// wrongly sends after a response arrive some milliseconds later, and must not be read as the next response (RFC 9112,
// 9.2). The delay costs connections, since under full load each one carries at most one request in this time. It also
// applies to servers that have not sent such bytes for long: the first time that one does, another client would get
// its response.
const reuseDelay = 20 * time.Millisecond

// serverConn is a connection to a server. It carries one request at a time, and belongs to the attempt that acquired
// it.
type serverConn struct {
	net.Conn
	addr           string
	openedAt       time.Time
	dialTime       time.Duration // how long opening it took
	idleSince      time.Time
	idleBefore     time.Duration // how long it was idle before its current use; 0: it is new
	writeStartedAt time.Time     // when its current use began
}

// writeBuffers writes buffers with one system call, unless the server's receive buffer is full.
func (c *serverConn) writeBuffers(buffers net.Buffers) (int64, error) { return buffers.WriteTo(c.Conn) }

// idleState is the state of a connection on which no request is open.
type idleState int

const (
	idleQuiet  idleState = iota // open, without unread bytes
	idleClosed                  // closed or reset by the server
	idleUnread                  // has unread bytes, which belong to no request
)

// idleState returns the state of an idle connection.
func (c *serverConn) idleState() idleState {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return idleQuiet // a connection of a test, without a file descriptor
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return idleUnread
	}
	state := idleClosed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idleQuiet
		case err == nil && n > 0:
			state = idleUnread
		}
	})
	if err != nil {
		return idleUnread // closed by this side
	}
	return state
}

// wasDead reports whether a connection may have been dead before its current use, given how long after the start of
// the write it was reset: a closed peer answers a write with a reset within a round trip. A connection that is reset
// later broke while the request was being served. Counting such resets, where they are common, would shorten the idle
// time until nearly every attempt needs a new connection.
func (c *serverConn) wasDead(after time.Duration) bool { return after <= 2*c.dialTime+reuseDelay/8 }
