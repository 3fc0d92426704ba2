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

// newTestLimiter is a limiter on loopback with so many accepted connections, and their clients' ends.
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

// idleConn is a limiter with one connection between requests, and its client's end.
func idleConn(t *testing.T) (cl *ConnLimiter, conn *clientConn, client net.Conn) {
	t.Helper()
	cl, clients := newTestLimiter(t, 10, 1)
	conn = freshConns(cl)[0]
	t.Cleanup(func() { conn.Close() })
	cl.MarkBusy(conn)
	cl.MarkIdle(conn)
	return cl, conn, clients[0]
}

// freshConns are the connections that have sent no request yet, the oldest first.
func freshConns(cl *ConnLimiter) []*clientConn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var conns []*clientConn
	for e := cl.fresh.Front(); e != nil; e = e.Next() {
		conns = append(conns, e.Value.(*clientConn))
	}
	return conns
}

// closeEvicted does what the readers of evicted connections do.
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
			t.Errorf("evicted, it reads %d bytes, %v", n, err)
		}
		c.Close()
	}
}

// writeByte has a client send one byte.
func writeByte(t *testing.T, client net.Conn, b byte) {
	t.Helper()
	if _, err := client.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
}

// requireReadByte reads one byte.
func requireReadByte(t *testing.T, c net.Conn, want byte) {
	t.Helper()
	buf := make([]byte, 1)
	if n, err := c.Read(buf); n != 1 || err != nil || buf[0] != want {
		t.Fatalf("%d bytes, %v, %q: want %q", n, err, buf, want)
	}
}

// requireEvicted fails unless a read ends as that of an evicted connection.
func requireEvicted(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// The first byte of a request makes an idle connection busy: draining does not close it any more. A request that was
// read and then cut off would be executed, and sent again elsewhere.
func TestFirstByteMakesAConnectionBusy(t *testing.T) {
	cl, conn, client := idleConn(t)
	writeByte(t, client, 'G')
	requireReadByte(t, conn, 'G')
	cl.CloseIdle()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Errorf("closed although a request has begun: %v", err)
	}
	if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

// A connection on which nothing was sent yet is left alone for a while, as a request may be on its way.
func TestYoungSilentConnectionIsNotEvicted(t *testing.T) {
	cl, conn, _ := idleConn(t)
	conn.hasRequested = false
	cl.CloseSilent(testkit.Patience)
	if cl.evicting != 0 {
		t.Error("evicted at once")
	}
	cl.mu.Lock()
	conn.quietSince = time.Now().Add(-testkit.Patience)
	cl.mu.Unlock()
	cl.CloseSilent(testkit.Patience)
	if cl.evicting != 1 {
		t.Errorf("%d evicted after a long silence", cl.evicting)
	}
}

// lateRead has read a byte just before its connection was evicted.
type lateRead struct{ streamConn }

func (lateRead) Read(p []byte) (int, error) {
	p[0] = 'G'
	return 1, nil
}

// A byte that has been read just before its connection was evicted is a request's: the connection goes on, and is read
// for as long as it would have been. Bytes that come after that stay unread, and the client sends them again elsewhere.
func TestByteThatCrossesTheEvictionCancelsIt(t *testing.T) {
	cl, conn, client := idleConn(t)
	cl.SetReadDeadline(conn, time.Now().Add(testkit.Patience))
	stream := conn.streamConn
	conn.streamConn = lateRead{stream}
	cl.CloseIdle()
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
		t.Error("it was closed")
	}
	cl.MarkIdle(conn)
	cl.CloseIdle()
	writeByte(t, client, 'G')
	requireEvicted(t, conn)
	cl.SetReadDeadline(conn, time.Now().Add(testkit.Patience)) // its reader's deadline comes too late
	requireEvicted(t, conn)
	if !cl.conns[conn] {
		t.Error("the limiter has closed it by itself")
	}
}

// A connection whose last answer is out is closed once its client has read that, and not before, unless its slot is
// needed. One whose first request has begun to come is not silent.
func TestOnlyQuietConnectionsAreEvicted(t *testing.T) {
	t.Run("last answer out", func(t *testing.T) {
		cl, conn, _ := idleConn(t)
		if err := conn.CloseWrite(); err == nil && cl.idle.Len() == 0 {
			t.Error("not in the list of idle ones")
		}
		cl.CloseIdle()
		if cl.evicting != 0 {
			t.Error("its last answer may be lost")
		}
		cl.maxConns = 1
		if wait := cl.reclaimSlots(time.Now()); wait == 0 || cl.evicting != 1 {
			t.Errorf("wait %v, %d evicted: its slot is needed", wait, cl.evicting)
		}
	})
	t.Run("first request under way", func(t *testing.T) {
		cl, conn, client := idleConn(t)
		conn.hasRequested = false
		writeByte(t, client, 'G')
		requireReadByte(t, conn, 'G')
		cl.CloseSilent(0)
		if cl.evicting != 0 {
			t.Error("evicted")
		}
	})
}

// Clients that connect and send nothing once filled the listener for as long as they liked, and no others came in. Past
// the eviction mark those that were quiet longest are evicted, but none before its time: a client may be about to send
// its first request. Those with an open request stay.
func TestQuietConnectionsAreEvictedForNewOnes(t *testing.T) {
	cl, clients := newTestLimiter(t, 8, 8)
	conns := freshConns(cl)
	cl.MarkBusy(conns[0])
	now := conns[7].quietSince
	if wait := cl.reclaimSlots(now); wait <= 0 || wait > minQuiet || cl.Counts().Open != 8 {
		t.Fatalf("full of young ones: wait %v, %d open", wait, cl.Counts().Open)
	}
	if wait := cl.reclaimSlots(now.Add(minQuiet)); wait == 0 || cl.Counts().Open != 8 {
		t.Fatalf("wait %v, %d open: no slot is free before their readers have closed them", wait, cl.Counts().Open)
	}
	closeEvicted(t, cl)
	if wait := cl.reclaimSlots(now.Add(minQuiet)); wait != 0 || cl.Counts().Open != cl.evictionMark-1 {
		t.Fatalf("wait %v, %d open, mark %d", wait, cl.Counts().Open, cl.evictionMark)
	}
	if !cl.conns[conns[0]] || cl.conns[conns[1]] || cl.conns[conns[3]] || !cl.conns[conns[4]] {
		t.Error("not those that were quiet longest were closed")
	}
	if err := clients[1].SetReadDeadline(time.Now().Add(testkit.Patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := clients[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client does not see the close: %v", err)
	}
	cl.MarkIdle(conns[0])
	if cl.idle.Back().Value != conns[0] {
		t.Error("after its answer it is not idle")
	}
	cl.MarkBusy(conns[4])
	if err := conns[4].CloseWrite(); err != nil || cl.idle.Front().Value != conns[4] {
		t.Errorf("%v; one whose last answer is out is not the first to be evicted", err)
	}
	// Full once more: clients that send requests now and then, and so are never quiet for long, must not keep all others
	// out. Those that have had an answer are evicted at once, those still silent are not.
	reclaimOne := func() time.Duration {
		cl.maxConns = cl.Counts().Open
		cl.reclaimSlots(time.Now())
		closeEvicted(t, cl)
		return cl.reclaimSlots(time.Now())
	}
	if wait := reclaimOne(); wait != 0 || cl.conns[conns[4]] || !cl.conns[conns[0]] {
		t.Errorf("wait %v; open: closing %v, idle %v", wait, cl.conns[conns[4]], cl.conns[conns[0]])
	}
	if wait := reclaimOne(); wait != 0 || cl.conns[conns[0]] {
		t.Errorf("wait %v; the idle one stays", wait)
	}
	cl.maxConns = cl.Counts().Open
	if wait := cl.reclaimSlots(conns[5].quietSince); wait == 0 || !cl.conns[conns[5]] {
		t.Errorf("wait %v; a silent one was evicted before its time", wait)
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
		t.Errorf("%d connections past the limit", len(accepted))
	}
	first.Close()
	first.Close() // frees its slot once
	testkit.Receive(t, "second connection", accepted)
	if open := cl.Counts().Open; open != 1 {
		t.Errorf("%d counted, one is open", open)
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
		t.Errorf("%d are idle, none was quiet for long", idle)
	}
	cl.reclaimSlots(time.Now().Add(minQuiet))
	closeEvicted(t, cl)
	if idle := cl.Counts().Idle; idle >= cl.maxIdle {
		t.Errorf("%d are idle that were quiet for long, fewer than %d should be", idle, cl.maxIdle)
	}
}

// Where all slots are taken, a connection that has sent nothing is evicted soon, so that one behind it is accepted; one
// that has sent a part of its first request is left its time.
func TestSilentConnectionsAreEvictedSoonWhenAllSlotsAreTaken(t *testing.T) {
	cl, clients := newTestLimiter(t, 2, 2)
	conns := freshConns(cl)
	begun := conns[0]
	silent := conns[1]
	writeByte(t, clients[0], 'G')
	requireReadByte(t, begun, 'G')
	if wait := cl.reclaimSlots(silent.quietSince.Add(minSilent / 2)); wait > minSilent/2 || cl.evicting != 0 {
		t.Errorf("wait %v, %d are evicted before their time", wait, cl.evicting)
	}
	cl.reclaimSlots(silent.quietSince.Add(minSilent))
	if begun.evicting || !silent.evicting {
		t.Errorf("evicted: one whose request has begun %v, a silent one %v", begun.evicting, silent.evicting)
	}
	cl.reclaimSlots(silent.quietSince.Add(minSilent))
	if cl.evicting != 1 {
		t.Errorf("%d are evicted for one slot", cl.evicting)
	}
}
