package agent

import (
	"net"
	"sync"
)

// The file descriptors of the process are shared out here: a fixed part for its own files,
// discovery and peers, and the rest to clients and backends. Each client connection carries one
// request at a time, and a request seldom has more than one attempt out, so the parts are equal.
// A tenth is left to clients past their part, which are refused and sent away.
const (
	leastSockets   = 64
	ownSockets     = 24
	defaultSockets = 1024
)

func sharedSockets(limit int) int {
	if limit == 0 {
		limit = defaultSockets
	}
	return limit - ownSockets
}

// clientSockets is how many client connections are kept and requests held.
func clientSockets(limit int) int { return sharedSockets(limit) * 45 / 100 }

// backendSockets is how many connections to backends are open at once.
func backendSockets(limit int) int { return sharedSockets(limit) * 45 / 100 }

// limitListener accepts no more than so many connections at once. Past that they wait in the
// kernel's queue: running out of descriptors would fail attempts at healthy backends too.
type limitListener struct {
	*net.TCPListener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l *net.TCPListener, most int) *limitListener {
	return &limitListener{TCPListener: l, slots: make(chan struct{}, most), closed: make(chan struct{})}
}

func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{TCPConn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// limitedConn keeps the methods of a TCP connection: with no CloseWrite, net/http would close at
// once after a last answer, and a reset could overtake it.
type limitedConn struct {
	*net.TCPConn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
