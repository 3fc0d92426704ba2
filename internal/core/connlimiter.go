package core

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// The file descriptors of an agent are divided into three parts: a fixed number for its own files, discovery and peers,
// and the rest for connections of clients and connections to servers. Each client connection carries one request at a
// time, and a request seldom has more than one attempt in flight. The clients' part is larger than the servers' part,
// because clients also keep idle connections.
const (
	// minSockets is the smallest Config.Sockets with which an agent can work.
	minSockets = 64
	// ReservedSockets is how many of an agent's Config.Sockets are neither for clients nor for servers.
	ReservedSockets = 24
	// defaultSockets is used if Config.Sockets is not set. It is the usual soft limit of a process.
	defaultSockets = 1024
)

// sharedSockets returns how many descriptors are left for clients and servers. If two processes of one agent share its
// descriptors, the limit of each may be below minSockets; minSockets applies then.
func sharedSockets(limit int) int {
	if limit == 0 {
		limit = defaultSockets
	}
	return max(limit, minSockets) - ReservedSockets
}

// BackendSockets returns the number of connections to servers that may be open at once; limit is a Config.Sockets.
func BackendSockets(limit int) int { return sharedSockets(limit) * 2 / 5 }

// ClientSockets returns the number of client connections that may be open at once; limit is a Config.Sockets.
func ClientSockets(limit int) int { return sharedSockets(limit) - BackendSockets(limit) }

const (
	// minQuiet is how long a connection must have been quiet before it is evicted for new ones, unless all slots are
	// taken: its client may be about to send its first request. With a longer time, idle clients prevent others from
	// connecting for longer.
	minQuiet = 2 * time.Second
	// minSilent is how long a connection must have been silent before it is evicted while all slots are taken. It is
	// shorter than minQuiet, because a request on a connection in the kernel's queue waits for the eviction.
	minSilent = 250 * time.Millisecond
	// HeadTimeout is the time limit for the head of a request, and again for its body. For the head it runs from the
	// connection's start or, for later requests, from the first byte. It is longer than minQuiet, so that a connection
	// is evicted before its time limit.
	HeadTimeout = minQuiet + 200*time.Millisecond
	// emptyCheckInterval is how often waitUntilEmpty evicts connections that have become idle.
	emptyCheckInterval = 20 * time.Millisecond
)

// evictionReason is the reason why a client's connection was evicted. The names of the reasons are label values of a
// metric.
type evictionReason int

const (
	evictQuiet   evictionReason = iota // quiet for minQuiet, while too many connections were open or idle
	evictForSlot                       // its slot was needed, because all slots were taken
	evictIdle                          // idle while the agent stops or is drained
	evictSilent                        // no byte was ever sent on it, and the agent stops or is drained
	evictionReasonCount
)

var evictionReasonNames = [evictionReasonCount]string{"quiet", "room", "idle", "silent"}

// ConnLimiter accepts clients' connections up to a number of slots. A connection is fresh before its first request,
// silent while it is fresh and has sent no byte, idle between two requests, and quiet while it is fresh or idle.
//
// The number of slots is bounded because attempts at healthy servers would fail if the process ran out of descriptors.
// A connection without an open request keeps its slot only while enough slots are free. Past the eviction mark (three
// quarters of the slots), connections that have been quiet for minQuiet are evicted for new ones. While all slots are
// taken, an idle connection is evicted at once: a client that sends its next request just before it receives the close
// sends it again on another connection. A silent connection is not evicted before minSilent, and new ones wait in the
// kernel's queue until then.
//
// Only in a quarter of the slots are idle connections kept for longer. Otherwise, clients that send one request on each
// connection and never close it would run out of descriptors of their own before the limiter runs out of slots. Beyond
// that quarter, idle connections are evicted once they have been quiet for minQuiet, as past the eviction mark. As a
// result, a burst of requests every few seconds needs new connections.
//
// The limiter does not close the connections that it evicts. It sets a read deadline that has passed, and the goroutine
// that reads the connection closes it. That goroutine may already have read a request, which would be lost if the
// limiter closed the connection.
type ConnLimiter struct {
	net.Listener

	mu           sync.Mutex
	maxConns     int // number of slots
	evictionMark int // number of open connections from which those quiet for minQuiet are evicted
	maxIdle      int // number of idle connections from which those quiet for minQuiet are evicted
	conns        map[*clientConn]bool
	fresh        *list.List // of fresh *clientConn, the oldest first
	idle         *list.List // of idle *clientConn, the longest idle first
	evicting     int        // number of connections that were evicted and are not closed yet
	evictions    [evictionReasonCount]int64
	slotFreed    chan struct{} // buffers one: a slot may have become free
	closed       chan struct{}
	closeOnce    sync.Once
	closing      bool // see CloseAfterQueue
}

// NewConnLimiter returns a limiter that accepts at most maxConns connections of a listener at once.
func NewConnLimiter(l net.Listener, maxConns int) *ConnLimiter {
	cl := &ConnLimiter{
		Listener:  l,
		conns:     map[*clientConn]bool{},
		fresh:     list.New(),
		idle:      list.New(),
		slotFreed: make(chan struct{}, 1),
		closed:    make(chan struct{}),
	}
	cl.Resize(maxConns)
	return cl
}

// Resize changes the number of slots. If more connections are open than the new number, they stay open, and Accept
// evicts quiet ones as if all slots were taken.
func (cl *ConnLimiter) Resize(maxConns int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.maxConns = maxConns
	cl.evictionMark = maxConns * 3 / 4
	cl.maxIdle = max(1, maxConns/4)
	cl.signalSlot() // a slot may be free now
}

// signalSlot wakes the goroutine that is waiting for a slot.
func (cl *ConnLimiter) signalSlot() {
	select {
	case cl.slotFreed <- struct{}{}:
	default:
	}
}

// PastDeadline is a deadline that has passed. If it is set, a read or write that is waiting ends at once.
var PastDeadline = time.Unix(1, 0)

// Accept waits for a free slot, and then for a connection. It returns net.ErrClosed once the limiter is closed, and
// another error only if the listener has failed permanently. Only one goroutine may call it.
func (cl *ConnLimiter) Accept() (net.Conn, error) {
	var failures acceptFailures
	for {
		wait := cl.reclaimSlots(time.Now())
		if wait == 0 {
			nc, err := cl.acceptNext() // no other goroutine accepts, so the slot is still free
			if err == nil {
				return cl.add(nc)
			}
			if wait, err = cl.retryDelay(err, &failures); err != nil {
				return nil, err
			}
		}
		if !cl.waitForSlot(wait) {
			return nil, net.ErrClosed
		}
	}
}

// acceptNext waits for a connection. After CloseAfterQueue it takes a connection from the kernel's queue, or closes
// the listener if the queue is empty.
func (cl *ConnLimiter) acceptNext() (net.Conn, error) {
	if !cl.closesAfterQueue() {
		nc, err := cl.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
	}
	nc, err := acceptQueued(cl.Listener)
	if errors.Is(err, errQueueEmpty) {
		_ = cl.Close()
		return nil, net.ErrClosed
	}
	return nc, err
}

func (cl *ConnLimiter) closesAfterQueue() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.closing
}

// CloseAfterQueue makes Accept take the connections in the kernel's queue, for at most limit, and then close the
// listener. Without this, the last close of a listening socket would reset the connections in its queue, whose clients
// may have sent requests. It must not be called if another process or agent accepts connections on the same socket,
// because it accepts those in the queue.
func (cl *ConnLimiter) CloseAfterQueue(limit time.Duration) {
	cl.mu.Lock()
	cl.closing = true
	cl.mu.Unlock()
	time.AfterFunc(limit, func() { _ = cl.Close() })
	if !interruptAccept(cl.Listener) {
		_ = cl.Close()
	}
}

// retryDelay returns how long to wait after an error of accept, or the error if the listener has failed permanently.
func (cl *ConnLimiter) retryDelay(err error, failures *acceptFailures) (time.Duration, error) {
	switch {
	case outOfDescriptors(err): // the eviction of a quiet connection will free a descriptor
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.evictQuietest(time.Now())
		return descriptorRetryDelay, nil
	case isConnectionError(err):
		return failedAcceptDelay, nil
	case failures.mayRetry(err):
		return acceptRetryDelay, nil
	}
	return 0, err
}

// add registers a connection that was accepted.
func (cl *ConnLimiter) add(nc net.Conn) (net.Conn, error) {
	stream, ok := nc.(streamConn)
	if !ok {
		_ = nc.Close()
		return nil, fmt.Errorf("accept: %T can't be half closed", nc)
	}
	c := &clientConn{streamConn: stream, limiter: cl, quietSince: time.Now()}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conns[c] = true
	c.element = cl.fresh.PushBack(c)
	return c, nil
}

// waitForSlot waits until a slot may be free, for at most maxWait. It reports false if the limiter is closed.
func (cl *ConnLimiter) waitForSlot(maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-cl.slotFreed:
	case <-timer.C:
	case <-cl.closed:
	}
	select {
	case <-cl.closed:
		return false
	default:
		return true
	}
}

// reclaimSlots evicts connections that have been quiet for long enough, as long as there are too many. It returns 0 if
// a slot is free, and otherwise the maximum time to wait for one before it must be called again.
func (cl *ConnLimiter) reclaimSlots(now time.Time) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	wait := min(minQuiet, cl.evictQuiet(cl.idle, now), cl.evictQuiet(cl.fresh, now))
	if len(cl.conns)-cl.evicting >= cl.maxConns {
		wait = min(wait, cl.evictQuietest(now))
	}
	if len(cl.conns) < cl.maxConns {
		return 0
	}
	return wait
}

// evictQuiet evicts the connections of a list that have been quiet for minQuiet, as long as there are too many. It
// returns the time until the next one is due, or minQuiet if there are not too many. The lock must be held.
func (cl *ConnLimiter) evictQuiet(quiet *list.List, now time.Time) time.Duration {
	for e := quiet.Front(); e != nil && cl.tooMany(quiet); e = quiet.Front() {
		c := e.Value.(*clientConn)
		if remaining := minQuiet - now.Sub(c.quietSince); remaining > 0 {
			return remaining
		}
		cl.evict(c, evictQuiet)
	}
	return minQuiet
}

// tooMany reports whether a list's connections are to be evicted once they have been quiet for minQuiet.
func (cl *ConnLimiter) tooMany(quiet *list.List) bool {
	return len(cl.conns)-cl.evicting >= cl.evictionMark || quiet == cl.idle && quiet.Len() >= cl.maxIdle
}

// evictQuietest evicts one connection at once: the one that has been idle longest, or else the one that has been
// silent longest, if that is at least minSilent. If the next silent connection may be evicted only later, it
// returns the time until then, and otherwise minQuiet. The lock must be held.
func (cl *ConnLimiter) evictQuietest(now time.Time) time.Duration {
	if e := cl.idle.Front(); e != nil {
		cl.evict(e.Value.(*clientConn), evictForSlot)
		return minQuiet
	}
	for e := cl.fresh.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if c.hasSent {
			continue // a part of its first request has arrived
		}
		if remaining := minSilent - now.Sub(c.quietSince); remaining > 0 {
			return remaining
		}
		cl.evict(c, evictForSlot)
		break
	}
	return minQuiet
}

// evict makes the reader of a quiet connection close it, by setting a read deadline that has passed. A reader that has
// just received bytes processes them instead: see clientConn.Read. The lock must be held.
func (cl *ConnLimiter) evict(c *clientConn, reason evictionReason) {
	cl.removeFromQuiet(c)
	if c.evicting {
		return
	}
	c.evicting = true
	cl.evictions[reason]++
	cl.evicting++
	_ = c.streamConn.SetReadDeadline(PastDeadline) // fails only on a connection that is closed already
}

// cancelEviction marks an evicted connection as in use again. The lock must be held.
func (cl *ConnLimiter) cancelEviction(c *clientConn) {
	if c.evicting {
		c.evicting = false
		cl.evicting--
	}
}

// release closes a connection and frees its slot. A second call has no effect. The lock must be held; closing a socket
// does not block.
func (cl *ConnLimiter) release(c *clientConn) {
	if !cl.conns[c] {
		return
	}
	_ = c.streamConn.Close() // there is no remedy if it fails
	delete(cl.conns, c)
	cl.removeFromQuiet(c)
	cl.cancelEviction(c)
	cl.signalSlot()
}

// removeFromQuiet removes a connection from the list that contains it, fresh or idle. The lock must be held.
func (cl *ConnLimiter) removeFromQuiet(c *clientConn) {
	if c.element == nil {
		return
	}
	cl.fresh.Remove(c.element) // has no effect if the element is in the other list
	cl.idle.Remove(c.element)
	c.element = nil
}

// MarkBusy records that a request is open on a connection that the limiter accepted. It reports false if the
// connection is closed.
func (cl *ConnLimiter) MarkBusy(nc net.Conn) bool {
	c, ok := nc.(*clientConn)
	if !ok {
		return false
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.hasRequested = true
	cl.removeFromQuiet(c)
	cl.cancelEviction(c)
	return cl.conns[c]
}

// SetReadDeadline sets the read deadline of a connection on which no request is open, as the method of net.Conn does.
// An evicted connection keeps the deadline that has passed, so that reading ends at once.
func (cl *ConnLimiter) SetReadDeadline(nc net.Conn, deadline time.Time) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.readDeadline = deadline
	if !c.evicting {
		_ = c.streamConn.SetReadDeadline(deadline) // fails only on a connection that is closed already
	}
}

// MarkIdle records that a request on a connection has ended and that none is open on it.
func (cl *ConnLimiter) MarkIdle(nc net.Conn) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conns[c] && c.element == nil {
		c.quietSince = time.Now()
		c.element = cl.idle.PushBack(c)
	}
}

// NearCapacity reports whether the number of open or idle connections is so high that a connection should be closed
// after its answer.
func (cl *ConnLimiter) NearCapacity() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.conns) >= cl.maxConns-cl.maxConns/8 || cl.idle.Len() >= cl.maxIdle
}

// ConnCounts are the numbers of open connections.
type ConnCounts struct {
	Open  int
	Fresh int // of these, connections with no request yet
	Idle  int // of these, connections between two requests
}

// Counts returns the numbers of connections that are open now.
func (cl *ConnLimiter) Counts() ConnCounts {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return ConnCounts{Open: len(cl.conns), Fresh: cl.fresh.Len(), Idle: cl.idle.Len()}
}

// evictionCounts returns the numbers of evictions since the start, by name of the reason.
func (cl *ConnLimiter) evictionCounts() map[string]int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	counts := map[string]int64{}
	for reason, n := range cl.evictions {
		counts[evictionReasonNames[reason]] = n
	}
	return counts
}

// EvictIdle evicts the idle connections, except for those on which the last answer has been sent: these are closed
// once their clients have read it.
func (cl *ConnLimiter) EvictIdle() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var next *list.Element
	for e := cl.idle.Front(); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*clientConn); !c.responsesEnded {
			cl.evict(c, evictIdle)
		}
	}
}

// EvictSilent evicts the connections that are at least minAge old and on which no byte has arrived. On a younger
// connection a request may be in transit.
func (cl *ConnLimiter) EvictSilent(minAge time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.conns {
		if !c.hasRequested && !c.hasSent && time.Since(c.quietSince) >= minAge {
			cl.evict(c, evictSilent)
		}
	}
}

// waitUntilEmpty evicts connections as they become idle, and returns once no connection is open, or with an error when
// ctx ends. Accept must not be called any more.
func (cl *ConnLimiter) waitUntilEmpty(ctx context.Context) error {
	check := time.NewTicker(emptyCheckInterval)
	defer check.Stop()
	for {
		cl.EvictIdle()
		open := cl.Counts().Open
		if open == 0 {
			return nil
		}
		select {
		case <-cl.slotFreed: // no call of Accept takes this signal, so the close of a connection is noticed here
		case <-check.C:
		case <-ctx.Done():
			return fmt.Errorf("%d connections are open: %w", open, ctx.Err())
		}
	}
}

// Close closes the listener, and ends an Accept that is waiting. Connections stay open.
func (cl *ConnLimiter) Close() error {
	cl.closeOnce.Do(func() { close(cl.closed) })
	return cl.Listener.Close()
}
