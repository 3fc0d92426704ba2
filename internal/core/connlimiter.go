package core

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// The file descriptors of the process are shared out here: a fixed part for its own files,
// discovery and peers, and the rest to clients and backends. Each client connection carries one
// request at a time, and a request seldom has more than one attempt out; clients' part is the
// larger, since they also keep connections on which they ask nothing.
const (
	minSockets     = 64
	OwnSockets     = 24 // of an agent's Sockets, those that are neither clients' nor backends'
	defaultSockets = 1024
)

func sharedSockets(limit int) int {
	if limit == 0 {
		limit = defaultSockets
	}
	return max(limit, minSockets) - OwnSockets // two processes of one agent may have less than the least each
}

// BackendSockets is how many connections to backends are open at once.
func BackendSockets(limit int) int { return sharedSockets(limit) * 2 / 5 }

// ClientSockets is how many client connections are open at once.
func ClientSockets(limit int) int { return sharedSockets(limit) - BackendSockets(limit) }

const (
	// minQuiet is how long a connection without an open request is left alone at the least: a
	// client may be about to send its first request on it.
	minQuiet = 2 * time.Second
	// minSilent is the same for one that has sent no byte yet, where the gate is full: a request on a connection that
	// nobody can take waits behind it.
	minSilent = 250 * time.Millisecond
	// descriptorRetryDelay is waited after the system had no descriptor for a connection, unless one is free sooner.
	descriptorRetryDelay = 50 * time.Millisecond
	// failedAcceptDelay is waited after one that could not be accepted, so that many do not take all of a processor.
	failedAcceptDelay = time.Millisecond
	// HeadTimeout is what a client has from connecting, or from the first byte of a later request,
	// until the head has come, and again for the body.
	HeadTimeout = minQuiet + 200*time.Millisecond
)

// evictionReason is why a client's connection was asked to end.
type evictionReason int

const (
	evictQuiet   evictionReason = iota // quiet for long, past the mark
	evictForSlot                       // for another, where there was no room
	evictIdle                          // kept after its answer, as the agent stops or sends clients away
	evictSilent                        // nothing was ever sent on it, as the agent stops or sends clients away
	evictionReasonCount
)

var evictionReasonNames = [evictionReasonCount]string{"quiet", "room", "idle", "silent"}

// evictionCounts are how many were, by why.
func (g *ConnLimiter) evictionCounts() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := map[string]int64{}
	for why, n := range g.evictions {
		all[evictionReasonNames[why]] = n
	}
	return all
}

// ConnLimiter accepts clients' connections, no more than so many at once: running out of descriptors
// would fail attempts at healthy backends too. A connection that carries no request holds its
// place only while there is room. Past the mark, those that have been quiet for long are closed
// for new ones. Where it is full all the same, one that has had an answer goes at once, since a
// client that meets the close with a further request sends that again elsewhere; one that has yet
// to send its first byte is left silentLeast, and new ones wait in the kernel's queue.
//
// Clients have bounds of their own: those that ask once and keep each connection for good have none
// left for the next request long before the gate is full. So no more than a quarter are kept
// after their answers, whoever keeps them, and past that quiet ones go as they do past the mark. It
// could hurt where a burst of many requests at once comes every few seconds: it connects anew.
type ConnLimiter struct {
	net.Listener

	mu                              sync.Mutex
	maxConns, evictionMark, maxIdle int
	conns                           map[*clientConn]bool
	fresh                           *list.List // of *clientConn that have sent no request yet, oldest first
	idle                            *list.List // of *clientConn between requests, idle longest first
	evicting                        int        // connections whose readers have been asked to end them
	evictions                       [evictionReasonCount]int64
	slotFreed                       chan struct{} // of one: a place has become free
	closed                          chan struct{}
	once                            sync.Once
}

// NewConnLimiter accepts no more than so many connections at once.
func NewConnLimiter(l net.Listener, most int) *ConnLimiter {
	g := &ConnLimiter{Listener: l, conns: map[*clientConn]bool{}, fresh: list.New(), idle: list.New(), slotFreed: make(chan struct{}, 1),
		closed: make(chan struct{})}
	g.Resize(most)
	return g
}

// Resize changes how many connections are accepted at once. Those that are open past it stay: quiet ones go
// as they do where it is full.
func (g *ConnLimiter) Resize(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConns, g.evictionMark, g.maxIdle = most, most*3/4, max(1, most/4)
	select {
	case g.slotFreed <- struct{}{}: // there may be room now
	default:
	}
}

// streamConn is a TCP or a unix connection.
type streamConn interface {
	net.Conn
	CloseWrite() error
}

// clientConn keeps the methods of a TCP connection: without CloseWrite a protocol would close at once
// after a last answer, and a reset could overtake it.
type clientConn struct {
	streamConn
	gate           *ConnLimiter
	element        *list.Element // in gate.fresh or gate.idle; nil while a request is open
	quietSince     time.Time     // quiet since then
	readDeadline   time.Time     // see Until
	hasRequested   bool          // has sent a request
	hasSent        bool          // has sent a byte
	evicting       bool          // its reader has been asked to end it
	responsesEnded bool          // its last answer is out, and the client's reading is waited for
}

// LongAgo is a deadline that has passed: a read or write that waits ends at once.
var LongAgo = time.Unix(1, 0)

// Accept waits for room, and for a connection.
func (g *ConnLimiter) Accept() (net.Conn, error) {
	var nc net.Conn
	var failures acceptFailures // of no known kind
	for nc == nil {
		wait := g.reclaimSlots(time.Now())
		if wait == 0 {
			var err error
			nc, err = g.Listener.Accept() // nobody else accepts: the room is still there
			switch {
			case err == nil:
			case outOfDescriptors(err): // others have taken them: a quiet client is the first to give one back
				g.mu.Lock()
				g.evictQuietest(time.Now())
				g.mu.Unlock()
				wait = descriptorRetryDelay
			case isConnectionError(err):
				wait = failedAcceptDelay
			case failures.mayRetry(err):
				wait = acceptRetryDelay
			default:
				return nil, err
			}
		}
		if nc == nil && !g.waitForSlot(wait) {
			return nil, net.ErrClosed
		}
	}
	stream, ok := nc.(streamConn)
	if !ok {
		_ = nc.Close()
		return nil, fmt.Errorf("accept: %T can't be half closed", nc)
	}
	c := &clientConn{streamConn: stream, gate: g, quietSince: time.Now()}
	g.mu.Lock()
	g.conns[c] = true
	c.element = g.fresh.PushBack(c)
	g.mu.Unlock()
	return c, nil
}

// waitForSlot waits until a place is free, for so long at the most. It reports false where the gate is closed.
func (g *ConnLimiter) waitForSlot(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.slotFreed:
	case <-timer.C:
	case <-g.closed:
	}
	select {
	case <-g.closed:
		return false
	default:
		return true
	}
}

// outOfDescriptors reports whether the process, or the system, had no descriptor or memory for a connection.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// isConnectionError reports whether accept failed for one connection, or for the network under it as it came (accept(2), error
// handling): the listener is sound.
func isConnectionError(err error) bool {
	var e syscall.Errno
	if !errors.As(err, &e) {
		return false
	}
	switch e {
	case syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENETDOWN, syscall.ENETUNREACH,
		syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.EPERM:
		return true
	}
	return false
}

// reclaimSlots has what has been quiet for long enough end, down to the mark. It returns 0 if there
// is room for one more, else how long to wait for it at the most.
func (g *ConnLimiter) reclaimSlots(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := minQuiet
	for _, l := range []*list.List{g.idle, g.fresh} {
		for e := l.Front(); e != nil && (len(g.conns)-g.evicting >= g.evictionMark || l == g.idle && l.Len() >= g.maxIdle); e = l.Front() {
			c := e.Value.(*clientConn)
			if young := minQuiet - now.Sub(c.quietSince); young > 0 {
				wait = min(wait, young)
				break
			}
			g.evict(c, evictQuiet)
		}
	}
	if len(g.conns)-g.evicting >= g.maxConns {
		wait = min(wait, g.evictQuietest(now))
	}
	if len(g.conns) < g.maxConns {
		return 0
	}
	return wait
}

// evictQuietest has one connection end for another: the one that has been idle longest, or else silent longest. It returns
// how long to wait until there is a silent one to be asked. The lock is held.
func (g *ConnLimiter) evictQuietest(now time.Time) time.Duration {
	if e := g.idle.Front(); e != nil {
		g.evict(e.Value.(*clientConn), evictForSlot)
		return minQuiet
	}
	for e := g.fresh.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if c.hasSent {
			continue // its request has
		}
		if young := minSilent - now.Sub(c.quietSince); young > 0 {
			return young
		}
		g.evict(c, evictForSlot)
		break
	}
	return minQuiet
}

// evict has a quiet connection's reader end it, by a read deadline that has passed. The gate closes none by itself: its
// reader may have read a request by then, which would be lost. A reader that gets bytes all the same goes on with them.
// The lock is held.
func (g *ConnLimiter) evict(c *clientConn, why evictionReason) {
	g.removeFromQuiet(c)
	if c.evicting {
		return
	}
	c.evicting = true
	g.evictions[why]++
	g.evicting++
	_ = c.streamConn.SetReadDeadline(LongAgo) // one that can't be set is closed already
}

// cancelEviction takes that back. The lock is held.
func (g *ConnLimiter) cancelEviction(c *clientConn) {
	if c.evicting {
		c.evicting = false
		g.evicting--
	}
}

// release closes a connection and frees its place. The lock is held; closing a socket does not
// block, and a second close does no harm.
func (g *ConnLimiter) release(c *clientConn) {
	if !g.conns[c] {
		return
	}
	_ = c.streamConn.Close() // nothing can be done about a socket that does not close
	delete(g.conns, c)
	g.removeFromQuiet(c)
	g.cancelEviction(c)
	select {
	case g.slotFreed <- struct{}{}:
	default:
	}
}

func (g *ConnLimiter) removeFromQuiet(c *clientConn) {
	if c.element != nil {
		g.fresh.Remove(c.element) // no more than looks, where it is in the other
		g.idle.Remove(c.element)
		c.element = nil
	}
}

// MarkBusy says that a request is open on a connection that the gate has accepted. It reports false where
// the gate has closed it.
func (g *ConnLimiter) MarkBusy(nc net.Conn) bool {
	c, ok := nc.(*clientConn)
	if !ok {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.hasRequested = true
	g.removeFromQuiet(c)
	g.cancelEviction(c)
	return g.conns[c]
}

// SetReadDeadline bounds the reading of a connection on which no request is open, as SetReadDeadline does, unless it has been
// asked to end: then it ends now.
func (g *ConnLimiter) SetReadDeadline(nc net.Conn, t time.Time) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.readDeadline = t
	if !c.evicting {
		_ = c.streamConn.SetReadDeadline(t) // one that can't be set is closed already
	}
}

// MarkIdle says that none is open on it any more.
func (g *ConnLimiter) MarkIdle(nc net.Conn) {
	if c, ok := nc.(*clientConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.conns[c] && c.element == nil {
			c.quietSince = time.Now()
			c.element = g.idle.PushBack(c)
		}
	}
}

// NearCapacity reports whether so many are open, or kept, that none should be kept after its answer.
func (g *ConnLimiter) NearCapacity() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) >= g.maxConns-g.maxConns/8 || g.idle.Len() >= g.maxIdle
}

// Counts are how many connections are open, and how many of these have sent no request yet, and
// how many are between requests.
func (g *ConnLimiter) Counts() (open, fresh, idle int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.fresh.Len(), g.idle.Len()
}

// CloseIdle has the connections end that are kept after their answers. Those whose last answer is out end by
// themselves, once their clients have read it.
func (g *ConnLimiter) CloseIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *list.Element
	for e := g.idle.Front(); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*clientConn); !c.responsesEnded {
			g.evict(c, evictIdle)
		}
	}
}

// waitUntilEmpty waits until no connection is open. Those that are kept after their answers go.
func (g *ConnLimiter) waitUntilEmpty(ctx context.Context) error {
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for {
		g.CloseIdle()
		g.mu.Lock()
		n := len(g.conns)
		g.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-g.slotFreed: // nobody accepts any more: each close is told here
		case <-again.C:
		case <-ctx.Done():
			return fmt.Errorf("%d connections are open: %w", n, ctx.Err())
		}
	}
}

// CloseSilent has the connections end on which nothing was ever sent, for so long: on a younger one a request may be on
// its way.
func (g *ConnLimiter) CloseSilent(least time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if !c.hasRequested && !c.hasSent && time.Since(c.quietSince) >= least {
			g.evict(c, evictSilent)
		}
	}
}

func (g *ConnLimiter) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.Listener.Close()
}

// Read takes the connection out of those that may be ended for being quiet, as soon as a byte of a
// request has come. A protocol tells of that only once it has read all of the head: ended in between,
// the request would be handled though its client, which saw no answer, asks again elsewhere.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.streamConn.Read(p)
	if n == 0 {
		return n, err
	}
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.conns[c] {
		return 0, net.ErrClosed // by its own side
	}
	c.hasSent = true
	if c.evicting { // it was too late for that: the request has the time that it would have had
		g.cancelEviction(c)
		_ = c.streamConn.SetReadDeadline(c.readDeadline)
	}
	if c.hasRequested { // a first request has HeadTime from connecting, whatever comes of it
		g.removeFromQuiet(c)
	}
	return n, err
}

// SetLinger is the socket's own: with 0 its close is a reset, which tells the client that its answer is not whole.
func (c *clientConn) SetLinger(seconds int) error {
	if l, ok := c.streamConn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported // a unix socket has none
}

// SyscallConn is the socket's own.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.streamConn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

func (c *clientConn) Close() error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.release(c)
	return nil
}

// CloseWrite ends the answers on a connection. It is then kept for a while, so that the client can read
// the last one; it is the first to go if its place is needed.
func (c *clientConn) CloseWrite() error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.responsesEnded = true
	if g.conns[c] && c.element == nil {
		c.quietSince = time.Time{}
		c.element = g.idle.PushFront(c)
	}
	return c.streamConn.CloseWrite()
}
