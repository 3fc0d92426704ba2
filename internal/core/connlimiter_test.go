package core

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// acceptedPair is a gate's end and a client's end of one connection that is kept after an answer.
func acceptedPair(t *testing.T) (cl *ConnLimiter, conn *clientConn, client net.Conn) {
	t.Helper()
	ln := testkit.Listen(t)
	cl = NewConnLimiter(ln, 10)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c, err := cl.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn = c.(*clientConn)
	t.Cleanup(func() { conn.Close() })
	conn.hasRequested = true
	cl.mu.Lock()
	cl.removeFromQuiet(conn)
	conn.element = cl.idle.PushBack(conn)
	cl.mu.Unlock()
	return cl, conn, client
}

// The first byte of a request makes a kept connection busy: draining does not close it any more. A
// request that was read and then cut off would be handled, and asked again elsewhere.
func TestFirstByteMakesAConnectionBusy(t *testing.T) {
	g, kept, client := acceptedPair(t)
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 1)
	if n, err := kept.Read(one); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	g.CloseIdle()
	if _, err := kept.Write([]byte("x")); err != nil {
		t.Errorf("closed though a request has begun: %v", err)
	}
	if _, err := io.ReadFull(client, one); err != nil {
		t.Error(err)
	}
}

// A connection on which nothing was sent yet is left alone for a while, as a request may be on its way; then it ends.
func TestYoungSilentConnectionIsNotEvicted(t *testing.T) {
	g, kept, _ := acceptedPair(t)
	kept.hasRequested = false
	if g.CloseSilent(testkit.Patience); g.evicting != 0 {
		t.Error("asked to end as soon as it was there")
	}
	g.mu.Lock()
	kept.quietSince = time.Now().Add(-testkit.Patience)
	g.mu.Unlock()
	if g.CloseSilent(testkit.Patience); g.evicting != 1 {
		t.Errorf("%d asked to end after a long silence", g.evicting)
	}
}

// A byte that has been read just before its connection was asked to end is a request's: the connection goes on, and is
// read for as long as it would have been. Bytes that come after that stay unread, and the client asks again elsewhere.
func TestByteThatCrossesTheEvictionCancelsIt(t *testing.T) {
	g, kept, client := acceptedPair(t)
	g.SetReadDeadline(kept, time.Now().Add(testkit.Patience))
	read := kept.streamConn // reads past the gate, as a read that is under way at the ask has
	kept.streamConn = lateRead{read}
	g.CloseIdle()
	if g.evicting != 1 {
		t.Fatalf("%d asked", g.evicting)
	}
	one := make([]byte, 1)
	if n, err := kept.Read(one); n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	kept.streamConn = read
	if _, err := client.Write([]byte("E")); err != nil {
		t.Fatal(err)
	}
	if n, err := kept.Read(one); n != 1 || err != nil || one[0] != 'E' || g.evicting != 0 {
		t.Errorf("%d bytes, %v, %d asked: the rest of the request is not read", n, err, g.evicting)
	}
	if !g.MarkBusy(kept) {
		t.Error("it was closed")
	}
	g.MarkIdle(kept)
	g.CloseIdle()
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if n, err := kept.Read(one); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the ask: %d bytes, %v", n, err)
	}
	// A deadline of its reader's comes too late for that.
	g.SetReadDeadline(kept, time.Now().Add(testkit.Patience))
	if n, err := kept.Read(one); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the ask and a new deadline: %d bytes, %v", n, err)
	}
	if !g.conns[kept] {
		t.Error("the gate has closed it by itself")
	}
}

// lateRead has read a byte just before it was asked to end.
type lateRead struct{ streamConn }

func (s lateRead) Read(p []byte) (int, error) { p[0] = 'G'; return 1, nil }

// A connection whose last answer is out ends once its client has read that, and not before, unless its place is
// needed. One whose first request has begun to come is not silent.
func TestOnlyQuietConnectionsAreEvicted(t *testing.T) {
	g, kept, _ := acceptedPair(t)
	if err := kept.CloseWrite(); err == nil && g.idle.Len() == 0 { // it stands between requests already
		t.Error("not in the books")
	}
	g.CloseIdle()
	if g.evicting != 0 {
		t.Error("its last answer may be lost")
	}
	g.maxConns = 1
	if wait := g.reclaimSlots(time.Now()); wait == 0 || g.evicting != 1 {
		t.Errorf("wait %v, %d asked: its place is needed", wait, g.evicting)
	}
	g, fresh, client := acceptedPair(t)
	fresh.hasRequested = false
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if n, err := fresh.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if g.CloseSilent(0); g.evicting != 0 {
		t.Error("a request has begun on it")
	}
}

// newTestLimiter is a gate on loopback whose clock the test turns, with so many client connections open.
func newTestLimiter(t *testing.T, maxConns, open int) (*ConnLimiter, []net.Conn) {
	t.Helper()
	cl := NewConnLimiter(testkit.Listen(t), maxConns)
	t.Cleanup(func() { cl.Close() })
	var conns []net.Conn
	for range open {
		conns = append(conns, dialLimiter(t, cl))
		if _, err := cl.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	return cl, conns
}

// closeEvicted is what a connection's reader does once it is asked.
func (cl *ConnLimiter) closeEvicted(t *testing.T) {
	t.Helper()
	cl.mu.Lock()
	var asked []*clientConn
	for c := range cl.conns {
		if c.evicting {
			asked = append(asked, c)
		}
	}
	cl.mu.Unlock()
	for _, c := range asked {
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("asked to end, it reads %d bytes, %v", n, err)
		}
		c.Close()
	}
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

func (cl *ConnLimiter) connCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.conns)
}

// Clients that connect and say nothing once filled the listener for as long as they liked, and
// nobody else came in. Past the mark those testkit.Quiet longest go, but none before its time: a client
// may be about to send its first request. Those with an open request stay.
func TestQuietConnectionsAreEvictedForNewOnes(t *testing.T) {
	g, conns := newTestLimiter(t, 8, 8)
	g.mu.Lock()
	var all []*clientConn
	for e := g.fresh.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*clientConn))
	}
	g.mu.Unlock()
	g.MarkBusy(all[0])
	now := all[7].quietSince
	if wait := g.reclaimSlots(now); wait <= 0 || wait > minQuiet || g.connCount() != 8 {
		t.Fatalf("full of young ones: wait %v, %d open", wait, g.connCount())
	}
	if wait := g.reclaimSlots(now.Add(minQuiet)); wait == 0 || g.connCount() != 8 {
		t.Fatalf("wait %v, %d open: there is no room before their readers have ended them", wait, g.connCount())
	}
	g.closeEvicted(t)
	if wait := g.reclaimSlots(now.Add(minQuiet)); wait != 0 || g.connCount() != g.evictionMark-1 {
		t.Fatalf("wait %v, %d open, mark %d", wait, g.connCount(), g.evictionMark)
	}
	if !g.conns[all[0]] || g.conns[all[1]] || g.conns[all[3]] || !g.conns[all[4]] {
		t.Error("not those testkit.Quiet longest were closed")
	}
	if err := conns[1].SetReadDeadline(time.Now().Add(testkit.Patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := conns[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client was not told: %v", err)
	}
	// Quiet again after its answer; then its last answer is out and only the client's reading is
	// waited for, which is the first to end.
	g.MarkIdle(all[0])
	if g.idle.Back().Value != all[0] {
		t.Error("after its answer it is not idle")
	}
	g.MarkBusy(all[4])
	if err := all[4].CloseWrite(); err != nil || g.idle.Front().Value != all[4] {
		t.Errorf("%v; one that is being closed is not the first to go", err)
	}
	// Full once more: clients that ask now and then, and so are never idle for long, must not keep
	// all others out. Those that have had an answer go at once, those still silent do not.
	g.maxConns = g.connCount()
	g.reclaimSlots(time.Now())
	g.closeEvicted(t)
	if wait := g.reclaimSlots(time.Now()); wait != 0 || g.conns[all[4]] || !g.conns[all[0]] {
		t.Errorf("wait %v; kept: closing %v, idle %v", wait, g.conns[all[4]], g.conns[all[0]])
	}
	g.maxConns = g.connCount()
	g.reclaimSlots(time.Now())
	g.closeEvicted(t)
	if wait := g.reclaimSlots(time.Now()); wait != 0 || g.conns[all[0]] {
		t.Errorf("wait %v; the idle one was kept", wait)
	}
	g.maxConns = g.connCount()
	if wait := g.reclaimSlots(all[5].quietSince); wait == 0 || !g.conns[all[5]] {
		t.Errorf("wait %v; a silent one was not left its time", wait)
	}
}

// A full gate takes no connection until a place is free, and counts each place once.
func TestNoMoreConnectionsThanSlotsAreAccepted(t *testing.T) {
	g, _ := newTestLimiter(t, 1, 0)
	got := make(chan net.Conn, 2)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := g.Accept()
			if err != nil {
				ended <- err
				return
			}
			g.MarkBusy(c)
			got <- c
		}
	}()
	dialLimiter(t, g)
	one := testkit.Receive(t, "first connection", got)
	dialLimiter(t, g)
	if g.connCount() != 1 || len(got) != 0 {
		t.Errorf("%d connections past the limit", len(got))
	}
	one.Close()
	one.Close()
	testkit.Receive(t, "second connection", got)
	if g.connCount() != 1 {
		t.Errorf("%d counted, one is open", g.connCount())
	}
	g.Close()
	if err := testkit.Receive(t, "end", ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}

// Those that are kept after their answers go, past a quarter, once they have been quiet for long.
func TestIdleConnectionsPastAQuarterAreEvictedOnceQuiet(t *testing.T) {
	g, _ := newTestLimiter(t, 20, 8)
	g.mu.Lock()
	var all []*clientConn
	for e := g.fresh.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*clientConn))
	}
	g.mu.Unlock()
	for _, c := range all {
		g.MarkBusy(c)
		g.MarkIdle(c)
	}
	g.reclaimSlots(time.Now())
	if idle := g.Counts().Idle; idle != 8 {
		t.Errorf("%d are kept, none was quiet for long", idle)
	}
	g.reclaimSlots(time.Now().Add(minQuiet))
	g.closeEvicted(t)
	if idle := g.Counts().Idle; idle >= g.maxIdle {
		t.Errorf("%d are kept that were quiet for long, fewer than %d should be", idle, g.maxIdle)
	}
}

// Where the gate is full, a connection that has sent nothing goes soon, so that one behind it is taken; one that has sent a
// part of its first request is left its time.
func TestSilentConnectionsAreEvictedSoonWhenAllSlotsAreTaken(t *testing.T) {
	g, conns := newTestLimiter(t, 2, 2)
	began, silent := g.fresh.Front().Value.(*clientConn), g.fresh.Back().Value.(*clientConn)
	if _, err := conns[0].Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if n, err := began.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if wait := g.reclaimSlots(silent.quietSince.Add(minSilent / 2)); wait > minSilent/2 || g.evicting != 0 {
		t.Errorf("wait %v, %d are asked to end before their time", wait, g.evicting)
	}
	g.reclaimSlots(silent.quietSince.Add(minSilent))
	if began.evicting || !silent.evicting {
		t.Errorf("asked: one whose request has begun %v, a silent one %v", began.evicting, silent.evicting)
	}
	if g.reclaimSlots(silent.quietSince.Add(minSilent)); g.evicting != 1 {
		t.Errorf("%d are asked to end for one place", g.evicting)
	}
}

// failUntilRecovered is a listener that has an error for each connection until told, such as of a process with no descriptor left.
type failUntilRecovered struct {
	net.Listener
	err                  error
	attempted, recovered chan struct{}
}

func (p failUntilRecovered) Accept() (net.Conn, error) {
	select {
	case <-p.recovered:
		return p.Listener.Accept()
	case p.attempted <- struct{}{}:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", p.err)}
	}
}

// acceptAfter has a gate whose listener fails once take the next connection.
func acceptAfter(t *testing.T, err error) *ConnLimiter {
	t.Helper()
	g, _ := newTestLimiter(t, 8, 1)
	p := failUntilRecovered{g.Listener, err, make(chan struct{}), make(chan struct{})}
	g.Listener = p
	got := make(chan error, 1)
	go func() { _, err := g.Accept(); got <- err }()
	dialLimiter(t, g)
	testkit.Receive(t, "accept", p.attempted)
	close(p.recovered)
	if err := testkit.Receive(t, "connection", got); err != nil {
		t.Error(err)
	}
	return g
}

// What accept(2) says of one connection, or of the network under it, ends no agent: the next one is taken.
func TestAcceptSurvivesFailedConnections(t *testing.T) {
	for _, err := range []error{syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN,
		syscall.EHOSTUNREACH, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM} {
		t.Run(err.Error(), func(t *testing.T) {
			if g := acceptAfter(t, err); g.evicting != 0 {
				t.Error("another one was asked to end for it")
			}
		})
	}
}

// A process that has no descriptor left goes on, and an idle client's is given back for the next one.
func TestAcceptSurvivesExhaustedDescriptors(t *testing.T) {
	g, _ := newTestLimiter(t, 8, 1)
	kept := g.fresh.Front().Value.(*clientConn)
	g.MarkBusy(kept)
	g.MarkIdle(kept)
	p := failUntilRecovered{g.Listener, syscall.EMFILE, make(chan struct{}), make(chan struct{})}
	g.Listener = p
	got := make(chan error, 1)
	go func() { _, err := g.Accept(); got <- err }()
	dialLimiter(t, g)
	testkit.Receive(t, "accept", p.attempted)
	testkit.Receive(t, "accept again", p.attempted)
	g.mu.Lock()
	if !kept.evicting {
		t.Error("the idle one was not asked to end")
	}
	g.mu.Unlock()
	close(p.recovered)
	if err := testkit.Receive(t, "connection", got); err != nil {
		t.Error(err)
	}
}

// An error of accept that nobody thought of is no reason to end the requests in flight: it is tried again after a pause.
func TestAcceptSurvivesUnknownTransientErrors(t *testing.T) {
	for _, err := range []error{syscall.EIO, syscall.EINVAL, syscall.EFAULT, syscall.EACCES, errors.New("of another kind")} {
		t.Run(err.Error(), func(t *testing.T) {
			acceptAfter(t, err)
		})
	}
}
