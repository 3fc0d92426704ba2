package core

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"
)

// streamConn is a TCP or a unix connection.
type streamConn interface {
	net.Conn
	CloseWrite() error
}

// clientConn is a connection that a ConnLimiter has accepted. It provides CloseWrite as a TCP connection does. Without
// it a protocol would have to close the connection right after the last answer, and a reset could overtake that
// answer. The limiter's lock guards its fields.
type clientConn struct {
	streamConn
	limiter        *ConnLimiter
	element        *list.Element // in limiter.fresh or limiter.idle; nil while a request is open
	quietSince     time.Time     // no request has been open since then
	readDeadline   time.Time     // see ConnLimiter.SetReadDeadline
	hasRequested   bool          // its client has sent a request
	hasSent        bool          // its client has sent a byte
	evicting       bool          // it was evicted, and its reader has not closed it yet
	responsesEnded bool          // its last answer has been sent, but the client may not have read it yet
}

// Read cancels a pending eviction of the connection as soon as a byte of a request has arrived, and excludes it from
// later ones; during its first request a connection can still be evicted after minQuiet. A protocol calls MarkBusy only
// once it has read all of the head. If the connection were closed before that, the request would be executed, and the
// client, which got no answer, would send it again on another connection.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.streamConn.Read(p)
	if n == 0 {
		return n, err
	}
	cl := c.limiter
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.conns[c] {
		return 0, net.ErrClosed // closed by this side
	}
	c.hasSent = true
	if c.evicting { // it is too late to evict the connection: its previous read deadline applies again
		cl.cancelEviction(c)
		_ = c.streamConn.SetReadDeadline(c.readDeadline)
	}
	if c.hasRequested { // before its first request a connection stays in limiter.fresh: HeadTimeout runs from connecting
		cl.removeFromQuiet(c)
	}
	return n, err
}

// SetLinger sets the socket's linger time. With 0 the socket is closed by a reset, which shows the client that its
// answer is incomplete.
func (c *clientConn) SetLinger(seconds int) error {
	if l, ok := c.streamConn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported // a unix socket has no linger time
}

// SyscallConn returns the socket's raw connection.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.streamConn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection and frees its slot.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c)
	return nil
}

// CloseWrite closes the sending side of the connection after the last answer. The connection itself stays open, so
// that the client can read that answer. It is the first one to be evicted if a slot is needed.
func (c *clientConn) CloseWrite() error {
	cl := c.limiter
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.responsesEnded = true
	if cl.conns[c] && c.element == nil {
		c.quietSince = time.Time{}
		c.element = cl.idle.PushFront(c)
	}
	return c.streamConn.CloseWrite()
}
