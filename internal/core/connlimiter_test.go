package core

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// newTestLimiter returns a limiter on loopback with the given number of open connections, and their clients' ends.
func newTestLimiter(t *testing.T, maxConns, open int) (*ConnLimiter, []net.Conn) {
	t.Helper()
	cl := NewConnLimiter(testkit.Listen(t), maxConns)
	t.Cleanup(func() { cl.Close() })
	var clients []net.Conn
	for range open {
		clients = append(clients, dialLimiter(t, cl))
		if _, err := cl.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	return cl, clients
}

func dialLimiter(t *testing.T, cl *ConnLimiter) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", cl.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// idleConn returns a limiter with one idle connection, that connection, and its client's end.
func idleConn(t *testing.T) (cl *ConnLimiter, conn *clientConn, client net.Conn) {
	t.Helper()
	cl, clients := newTestLimiter(t, 10, 1)
	conn = freshConns(cl)[0]
	t.Cleanup(func() { conn.Close() })
	cl.MarkBusy(conn)
	cl.MarkIdle(conn)
	return cl, conn, clients[0]
}

// freshConns returns the connections that have sent no request yet, the oldest first.
func freshConns(cl *ConnLimiter) []*clientConn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var conns []*clientConn
	for e := cl.fresh.Front(); e != nil; e = e.Next() {
		conns = append(conns, e.Value.(*clientConn))
	}
	return conns
}

// closeEvicted closes the evicted connections, as their readers do.
func closeEvicted(t *testing.T, cl *ConnLimiter) {
	t.Helper()
	cl.mu.Lock()
	var evicted []*clientConn
	for c := range cl.conns {
		if c.evicting {
			evicted = append(evicted, c)
		}
	}
	cl.mu.Unlock()
	for _, c := range evicted {
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read on an evicted connection: %d bytes, %v", n, err)
		}
		c.Close()
	}
}

// writeByte sends one byte from a client.
func writeByte(t *testing.T, client net.Conn, b byte) {
	t.Helper()
	if _, err := client.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
}

// requireReadByte fails the test unless a read returns exactly the byte want.
func requireReadByte(t *testing.T, c net.Conn, want byte) {
	t.Helper()
	buf := make([]byte, 1)
	if n, err := c.Read(buf); n != 1 || err != nil || buf[0] != want {
		t.Fatalf("%d bytes, %v, %q: want %q", n, err, buf, want)
	}
}

// requireEvicted fails the test unless a read ends as on an evicted connection.
func requireEvicted(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// The first byte of a request must make an idle connection busy, so that a drain does not close it any more. Otherwise
// the request could be executed although its connection is closed, and its client would send it again on another one.
func TestFirstByteMakesAConnectionBusy(t *testing.T) {
	cl, conn, client := idleConn(t)
	writeByte(t, client, 'G')
	requireReadByte(t, conn, 'G')
	cl.EvictIdle()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Errorf("connection closed although a request has begun: %v", err)
	}
	if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

// A young connection on which no byte has arrived yet must not be evicted, because a request may be in transit.
func TestYoungSilentConnectionIsNotEvicted(t *testing.T) {
	cl, conn, _ := idleConn(t)
	conn.hasRequested = false
	cl.EvictSilent(testkit.EventTimeout)
	if cl.evicting != 0 {
		t.Error("a young connection was evicted")
	}
	cl.mu.Lock()
	conn.quietSince = time.Now().Add(-testkit.EventTimeout)
	cl.mu.Unlock()
	cl.EvictSilent(testkit.EventTimeout)
	if cl.evicting != 1 {
		t.Errorf("%d evicted after a long silence", cl.evicting)
	}
}

// lateRead is a connection whose Read returns a byte even after the connection was evicted.
type lateRead struct{ streamConn }

func (lateRead) Read(p []byte) (int, error) {
	p[0] = 'G'
	return 1, nil
}

// If a byte was read just before its connection was evicted, it belongs to a request: the connection must stay open,
// with its previous read deadline. On an evicted connection from which no byte was read, later bytes must stay unread,
// and the client sends them again on another connection.
func TestByteThatCrossesTheEvictionCancelsIt(t *testing.T) {
	cl, conn, client := idleConn(t)
	cl.SetReadDeadline(conn, time.Now().Add(testkit.EventTimeout))
	stream := conn.streamConn
	conn.streamConn = lateRead{stream}
	cl.EvictIdle()
	if cl.evicting != 1 {
		t.Fatalf("%d evicted", cl.evicting)
	}
	requireReadByte(t, conn, 'G')
	conn.streamConn = stream
	writeByte(t, client, 'E')
	requireReadByte(t, conn, 'E')
	if cl.evicting != 0 {
		t.Errorf("%d evicted", cl.evicting)
	}
	if !cl.MarkBusy(conn) {
		t.Error("the connection was closed")
	}
	cl.MarkIdle(conn)
	cl.EvictIdle()
	writeByte(t, client, 'G')
	requireEvicted(t, conn)
	cl.SetReadDeadline(conn, time.Now().Add(testkit.EventTimeout)) // the reader sets its deadline after the eviction
	requireEvicted(t, conn)
	if !cl.conns[conn] {
		t.Error("the limiter has closed the connection by itself")
	}
}

// A connection whose last answer has been sent must not be evicted before its client has read the answer, unless its
// slot is needed. A connection on which a part of the first request has arrived must not count as silent.
func TestOnlyQuietConnectionsAreEvicted(t *testing.T) {
	t.Run("last answer sent", func(t *testing.T) {
		cl, conn, _ := idleConn(t)
		if err := conn.CloseWrite(); err == nil && cl.idle.Len() == 0 {
			t.Error("the connection is not in the list of idle connections")
		}
		cl.EvictIdle()
		if cl.evicting != 0 {
			t.Error("the connection was evicted: its last answer may be lost")
		}
		cl.maxConns = 1
		if wait := cl.reclaimSlots(time.Now()); wait == 0 || cl.evicting != 1 {
			t.Errorf("wait %v, %d evicted, although the slot is needed", wait, cl.evicting)
		}
	})
	t.Run("first request under way", func(t *testing.T) {
		cl, conn, client := idleConn(t)
		conn.hasRequested = false
		writeByte(t, client, 'G')
		requireReadByte(t, conn, 'G')
		cl.EvictSilent(0)
		if cl.evicting != 0 {
			t.Error("a connection whose request has begun was evicted")
		}
	})
}

// Clients that connect and send no request must not keep all slots, which prevented other clients from connecting. Past
// the eviction mark the connections that have been quiet longest are evicted, but none before minQuiet, because its
// client may be about to send its first request. Connections with an open request must not be evicted.
func TestQuietConnectionsAreEvictedForNewOnes(t *testing.T) {
	cl, clients := newTestLimiter(t, 8, 8)
	conns := freshConns(cl)
	cl.MarkBusy(conns[0])
	now := conns[7].quietSince
	if wait := cl.reclaimSlots(now); wait <= 0 || wait > minQuiet || cl.Counts().Open != 8 {
		t.Fatalf("all slots hold young connections: wait %v, %d open", wait, cl.Counts().Open)
	}
	if wait := cl.reclaimSlots(now.Add(minQuiet)); wait == 0 || cl.Counts().Open != 8 {
		t.Fatalf("wait %v, %d open: no slot is free before the readers close", wait, cl.Counts().Open)
	}
	closeEvicted(t, cl)
	if wait := cl.reclaimSlots(now.Add(minQuiet)); wait != 0 || cl.Counts().Open != cl.evictionMark-1 {
		t.Fatalf("wait %v, %d open, mark %d", wait, cl.Counts().Open, cl.evictionMark)
	}
	if !cl.conns[conns[0]] || cl.conns[conns[1]] || cl.conns[conns[3]] || !cl.conns[conns[4]] {
		t.Error("the closed connections are not those that were quiet longest")
	}
	if err := clients[1].SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := clients[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client does not see the close: %v", err)
	}
	cl.MarkIdle(conns[0])
	if cl.idle.Back().Value != conns[0] {
		t.Error("the connection is not idle after its answer")
	}
	cl.MarkBusy(conns[4])
	if err := conns[4].CloseWrite(); err != nil || cl.idle.Front().Value != conns[4] {
		t.Errorf("%v; the connection whose last answer has been sent is not the first to be evicted", err)
	}
	// All slots are taken again. Clients that send requests from time to time, so that they are never quiet for long,
	// must not prevent all others from connecting: idle connections are evicted at once, silent ones are not.
	reclaimOne := func() time.Duration {
		cl.maxConns = cl.Counts().Open
		cl.reclaimSlots(time.Now())
		closeEvicted(t, cl)
		return cl.reclaimSlots(time.Now())
	}
	if wait := reclaimOne(); wait != 0 || cl.conns[conns[4]] || !cl.conns[conns[0]] {
		t.Errorf("wait %v; open: closing one %v, idle one %v", wait, cl.conns[conns[4]], cl.conns[conns[0]])
	}
	if wait := reclaimOne(); wait != 0 || cl.conns[conns[0]] {
		t.Errorf("wait %v; the idle connection stays", wait)
	}
	cl.maxConns = cl.Counts().Open
	if wait := cl.reclaimSlots(conns[5].quietSince); wait == 0 || !cl.conns[conns[5]] {
		t.Errorf("wait %v; a silent connection was evicted before its time", wait)
	}
}

func TestNoMoreConnectionsThanSlotsAreAccepted(t *testing.T) {
	cl, _ := newTestLimiter(t, 1, 0)
	accepted := make(chan net.Conn, 2)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := cl.Accept()
			if err != nil {
				ended <- err
				return
			}
			cl.MarkBusy(c)
			accepted <- c
		}
	}()
	dialLimiter(t, cl)
	first := testkit.Receive(t, "first connection", accepted)
	dialLimiter(t, cl)
	if cl.Counts().Open != 1 || len(accepted) != 0 {
		t.Errorf("%d connections were accepted past the limit", len(accepted))
	}
	first.Close()
	first.Close() // must not free the slot twice
	testkit.Receive(t, "second connection", accepted)
	if open := cl.Counts().Open; open != 1 {
		t.Errorf("%d connections counted, one is open", open)
	}
	cl.Close()
	if err := testkit.Receive(t, "end", ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept ended with %v", err)
	}
}

func TestIdleConnectionsPastAQuarterAreEvictedOnceQuiet(t *testing.T) {
	cl, _ := newTestLimiter(t, 20, 8)
	for _, c := range freshConns(cl) {
		cl.MarkBusy(c)
		cl.MarkIdle(c)
	}
	cl.reclaimSlots(time.Now())
	if idle := cl.Counts().Idle; idle != 8 {
		t.Errorf("%d connections are idle, although none was quiet for long enough to be evicted", idle)
	}
	cl.reclaimSlots(time.Now().Add(minQuiet))
	closeEvicted(t, cl)
	if idle := cl.Counts().Idle; idle >= cl.maxIdle {
		t.Errorf("%d connections that were quiet for long are still idle, want fewer than %d", idle, cl.maxIdle)
	}
}

// If all slots are taken, a silent connection must be evicted after minSilent, so that one in the queue is accepted. A
// connection on which a part of the first request has arrived keeps its time limit.
func TestSilentConnectionsAreEvictedSoonWhenAllSlotsAreTaken(t *testing.T) {
	cl, clients := newTestLimiter(t, 2, 2)
	conns := freshConns(cl)
	begun := conns[0]
	silent := conns[1]
	writeByte(t, clients[0], 'G')
	requireReadByte(t, begun, 'G')
	if wait := cl.reclaimSlots(silent.quietSince.Add(minSilent / 2)); wait > minSilent/2 || cl.evicting != 0 {
		t.Errorf("wait %v, %d connections were evicted before their time", wait, cl.evicting)
	}
	cl.reclaimSlots(silent.quietSince.Add(minSilent))
	if begun.evicting || !silent.evicting {
		t.Errorf("evicted: connection with a begun request %v, silent connection %v", begun.evicting, silent.evicting)
	}
	cl.reclaimSlots(silent.quietSince.Add(minSilent))
	if cl.evicting != 1 {
		t.Errorf("%d connections were evicted for one slot", cl.evicting)
	}
}
