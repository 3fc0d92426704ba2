package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit"
)

// newMessage puts a request into the form in which it is sent.
func newMessage(method, host string, u *url.URL, header http.Header, body []byte) *message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, u.RequestURI(), host)
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = header.Write(&head) // a bytes.Buffer takes everything
	return &message{head: head.Bytes(), body: body}
}

// attemptAt makes one attempt at a backend, with no agent around it.
func attemptAt(t *testing.T, ctx context.Context, b *connPool, body string) (decide.Result, *response, decide.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return b.attempt(ctx, probeOwner{}, "s", newMessage(http.MethodPost, "a", req.URL,
		http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}, []byte(body)))
}

// endRest lets the idle connections have rested long enough to be used again.
func endRest(b *connPool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.idle {
		for _, c := range list {
			c.idleSince = c.idleSince.Add(-minRest)
		}
	}
}

func poolFor(t *testing.T, addr string) *connPool {
	t.Helper()
	b := newConnPool(testConfig(t, testkit.Setup{}), testkit.Quiet)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": addr}})
	return b
}

// A connection that has stood idle for nearly as long as backends allow is not used again: the
// request would cross the close.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	attemptAt(t, context.Background(), b, "")
	old := b.idle["s"][0]
	old.idleSince = time.Now().Add(-b.learnedMaxIdle)
	attemptAt(t, context.Background(), b, "")
	if b.idle["s"][0] == old || b.open != 1 {
		t.Error("the old connection was used")
	}
	if b.learnedMaxIdle >= b.cfg.Site.IdleClose {
		t.Errorf("idle connections are kept for %v, backends close at %v", b.learnedMaxIdle, b.cfg.Site.IdleClose)
	}
}

// Under the descriptor limit the connection idle longest makes room; with none idle the attempt
// fails unsent.
func TestServerConnectionsAreBounded(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { return ok200 })
	other := serveRaw(t, func(int) string { <-hold; return ok200 })
	b := poolFor(t, s.addr)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "t"}}},
		Addrs: map[string]string{"t": other.addr}})
	b.maxConns = 1
	attemptAt(t, context.Background(), b, "")
	done := make(chan decide.Result)
	go func() {
		r, _, _ := b.attempt(context.Background(), probeOwner{}, "t", newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil))
		done <- r
	}()
	testkit.Receive(t, "request to t", other.seen)
	if len(b.idle["s"]) != 0 {
		t.Error("no idle connection made room")
	}
	if r, _, _ := attemptAt(t, context.Background(), b, ""); r != decide.NotSent {
		t.Errorf("past the limit: %v", r)
	}
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// A new address under an old id is another process: the old connections go.
func TestMovedServerIsDialledAtItsNewAddress(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, one.addr)
	attemptAt(t, context.Background(), b, "")
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": two.addr}})
	if b.open != 0 {
		t.Errorf("%d connections to the old address are open", b.open)
	}
	if attemptAt(t, context.Background(), b, ""); len(one.seen) != 1 || len(two.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new", len(one.seen), len(two.seen))
	}
}

// A connection that was in use while its backend moved leads to the old process: it is not kept.
func TestConnectionToMovedServerIsNotReused(t *testing.T) {
	hold := make(chan struct{})
	one := serveRaw(t, func(int) string { <-hold; return ok200 })
	b := poolFor(t, one.addr)
	done := make(chan decide.Result, 1)
	go func() {
		r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil))
		done <- r
	}()
	testkit.Receive(t, "request", one.seen)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": testkit.DeadAddr(t)}})
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK || b.open != 0 {
		t.Errorf("result %v, %d connections kept", r, b.open)
	}
}

// What comes behind an answer, with it or later while its connection is idle, is never read as
// the answer to the next request: a connection with anything unread is not used again, and each
// rests a while, if there is another.
func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	more := make(chan string)
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, <-more); err != nil {
				return
			}
			if _, err := io.WriteString(c, <-more); err != nil {
				return
			}
		}
	})
	b := poolFor(t, s.Addr)
	ask := func(with string) {
		t.Helper()
		id := newID()
		go func() { more <- with }()
		result, a, _ := b.attempt(context.Background(), probeOwner{}, "s",
			newMessage("GET", "a", &url.URL{Path: "/get/x"}, http.Header{"X-Trace-Id": {id}}, nil))
		if result != decide.OK || string(a.body) != id {
			t.Fatalf("%v: answered with %q", result, a.body)
		}
	}
	ask(ok200)
	more <- ""
	if len(b.idle) != 0 || b.open != 0 {
		t.Fatal("a connection with a second copy unread was kept")
	}
	ask("")
	if len(b.idle["s"]) != 1 {
		t.Fatal("no connection was kept")
	}
	first := b.idle["s"][0]
	more <- ok200 // while it is idle
	testkit.WaitFor(t, "the second copy", func() bool { return !first.isQuiet() })
	endRest(b)
	ask("")
	more <- ""
	second := b.idle["s"][0]
	if second == first || b.open != 1 {
		t.Fatal("a connection with bytes unread was used again")
	}
	second.idleSince = time.Now().Add(time.Hour) // it has not rested
	ask("")
	more <- ""
	if len(b.idle["s"]) != 2 {
		t.Error("a connection was used again at once")
	}
}

// However often a backend's answers were followed by nothing, its connections rest in full: a second answer that comes
// after ten thousand clean ones, 15 ms late, is nobody's.
func TestUnsolicitedResponseIsNeverServed(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	go func() {
		for range s.seen {
		}
	}()
	b := poolFor(t, s.addr)
	ask := func() {
		t.Helper()
		m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, http.Header{"X-Trace-Id": {newID()}}, nil)
		if result, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); result != decide.OK {
			t.Fatalf("%v", result)
		}
	}
	const many = 10_000
	for range many {
		ask()
		if b.idle["s"][0].idleSince = time.Now().Add(-minRest); b.open != 1 {
			t.Fatal("not used again")
		}
	}
	b.idle["s"][0].idleSince = time.Now().Add(-15 * time.Millisecond)
	c, _, err := b.acquire("s")
	if err != nil || c != nil {
		t.Errorf("%v %v: used again within its rest", c, err)
	}
}

// An answer that stops in its midst does not hold its request until the client's time is over.
func TestStalledResponseEndsAttempt(t *testing.T) {
	s := serveRaw(t, func(int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello" })
	b := poolFor(t, s.addr)
	b.cfg.Settings.ConnectTimeout = time.Second // which is also the longest gap
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.Errored {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Error("its connection was kept")
	}
}

// Thousands of backends that come and go leave nothing behind, and an address that a new one has
// taken over is no longer the old one's, even before its end is told.
func TestRemovedServersAreForgotten(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	for n := range 3000 {
		id, addr := fmt.Sprint("b", n), fmt.Sprintf("127.0.0.1:%d", 1+n%50)
		b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: id}}}, Addrs: map[string]string{id: addr}})
		b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: id, State: decide.Removed}}}})
	}
	if ids, owners := b.addresses.Len(); ids != 1 || owners != 1 || len(b.idle) != 0 {
		t.Errorf("%d addresses, %d owners, %d lists of connections", ids, owners, len(b.idle))
	}
	at := func(id string) string { addr, _ := b.addresses.Addr(id); return addr }
	attemptAt(t, context.Background(), b, "")
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "new"}}}, Addrs: map[string]string{"new": s.addr}})
	if at("s") != "" || at("new") != s.addr || b.open != 0 {
		t.Errorf("addresses %v, %d connections", b.addresses, b.open)
	}
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the new one", result, len(s.seen))
	}
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "s", State: decide.Removed}}}})
	if at("new") != s.addr || b.addresses.Server(s.addr) != "new" {
		t.Error("the old one's end took the new one's address")
	}
}

// Where connections that stood idle turn out to be dead, they are kept for a shorter time, and for
// longer again once those that stood for long serve. One that broke while young changes little.
func TestIdleTimeAdaptsToDeadConnections(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	for range 20 {
		b.learnIdle(b.maxIdle/10, false)
	}
	if b.learnedMaxIdle > b.maxIdle/8 || b.learnedMaxIdle < b.maxIdle/64 {
		t.Errorf("kept for %v of %v after many found dead", b.learnedMaxIdle, b.maxIdle)
	}
	for range 2000 {
		b.learnIdle(b.learnedMaxIdle*3/4, true)
	}
	if b.learnedMaxIdle != b.maxIdle {
		t.Errorf("kept for %v of %v after many that served", b.learnedMaxIdle, b.maxIdle)
	}
	b.learnIdle(0, false)
	if b.learnedMaxIdle != b.maxIdle {
		t.Error("a new connection that broke changed it")
	}
}

// Only what finds nobody at the other end is reset at once. A connection that breaks under a request that has begun says
// nothing of how long one may stand idle: where many do, each would shorten the time until none is kept.
func TestOnlyImmediateResetCountsAsDeadIdleConnection(t *testing.T) {
	for name, row := range map[string]struct {
		after, trip time.Duration
		result      decide.Result
		learns      bool
	}{
		"reset after a trip":           {time.Second, time.Second, decide.Reset, true},
		"reset under a request":        {time.Second, time.Millisecond, decide.Reset, false},
		"broke while it was written":   {time.Second, time.Millisecond, decide.Incomplete, true},
		"an answer amiss says nothing": {0, time.Second, decide.Errored, false},
	} {
		b := poolFor(t, "127.0.0.1:9")
		near, far := net.Pipe()
		defer far.Close()
		c := &serverConn{Conn: near, addr: "127.0.0.1:9", dialTime: row.trip, idleBefore: b.maxIdle / 10, writeStartedAt: time.Now().Add(-row.after)}
		b.closeAfterFailure("s", c, row.result)
		if learned := b.learnedMaxIdle < b.maxIdle; learned != row.learns {
			t.Errorf("%s: kept for %v of %v", name, b.learnedMaxIdle, b.maxIdle)
		}
	}
}

// endedOwner is a purpose of a test's.
type endedOwner struct {
	probeOwner
	over                   chan struct{}
	barred, lapsed, noDial bool
}

func (e endedOwner) Ended() <-chan struct{} { return e.over }

func (e endedOwner) BeginWrite(func()) core.SendRefusal {
	switch {
	case hasEnded(e):
		return core.RequestAnswered
	case e.barred:
		return core.ServerWithdrawn
	case e.lapsed:
		return core.WindowClosed
	}
	return core.SendAllowed
}

func (e endedOwner) MayDial() bool { return !e.noDial }
