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

// newMessage returns a request in the form in which it is sent.
func newMessage(method, host string, u *url.URL, header http.Header, body []byte) *message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, u.RequestURI(), host)
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = header.Write(&head) // a write to a bytes.Buffer does not fail
	return &message{head: head.Bytes(), body: body}
}

// attemptAt makes one attempt at a server, without an agent.
func attemptAt(t *testing.T, ctx context.Context, b *connPool, body string) (decide.Result, *response, decide.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return b.attempt(ctx, probeOwner{}, "s", newMessage(http.MethodPost, "a", req.URL,
		http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}, []byte(body)))
}

// passReuseDelay makes the idle connections old enough to be reused.
func passReuseDelay(b *connPool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.idle {
		for _, c := range list {
			c.idleSince = c.idleSince.Add(-reuseDelay)
		}
	}
}

func poolFor(t *testing.T, addr string) *connPool {
	t.Helper()
	b := newConnPool(testConfig(t, testkit.ConfigOptions{}), nil, testkit.DiscardLogger)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": addr}})
	return b
}

// A connection that has been idle for nearly as long as servers allow is not reused: the server might close it while
// the request is on its way.
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
		t.Errorf("idle connections are kept for %v, servers close them after %v", b.learnedMaxIdle, b.cfg.Site.IdleClose)
	}
}

// At the limit of connections, the one that has been idle longest is closed in favour of a new one; if none is idle,
// the attempt ends and nothing is sent.
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
	b.mu.Lock()
	idle := len(b.idle["s"])
	b.mu.Unlock()
	if idle != 0 {
		t.Error("no idle connection was closed to make room")
	}
	if r, _, _ := attemptAt(t, context.Background(), b, ""); r != decide.NotSent {
		t.Errorf("beyond the limit: %v", r)
	}
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// A server ID with a new address is another process: connections to the old address are closed.
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

// A connection that was in use while its server's address changed leads to the old process: it is not kept.
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
		Addrs: map[string]string{"s": testkit.RefusingAddr(t)}})
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK || b.open != 0 {
		t.Errorf("result %v, %d connections kept", r, b.open)
	}
}

// Bytes after a response, together with it or later while the connection is idle, are never read as the response to
// the next request: a connection with unread bytes is not reused, and no connection is reused before reuseDelay has
// passed if there is another one.
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
			t.Fatalf("%v: got the response %q", result, a.body)
		}
	}
	ask(ok200)
	more <- ""
	if len(b.idle) != 0 || b.open != 0 {
		t.Fatal("a connection with an unread second response was kept")
	}
	ask("")
	if len(b.idle["s"]) != 1 {
		t.Fatal("no connection was kept")
	}
	first := b.idle["s"][0]
	more <- ok200 // while it is idle
	testkit.WaitFor(t, "the second response", func() bool { return first.idleState() != idleQuiet })
	passReuseDelay(b)
	ask("")
	more <- ""
	second := b.idle["s"][0]
	if second == first || b.open != 1 {
		t.Fatal("a connection with unread bytes was reused")
	}
	second.idleSince = time.Now().Add(time.Hour) // reuseDelay has not passed
	ask("")
	more <- ""
	if len(b.idle["s"]) != 2 {
		t.Error("a connection was reused at once")
	}
}

// However often a server's responses were followed by no further bytes, reuseDelay applies in full: a second response
// that arrives 15 ms late, after ten thousand correct exchanges, goes to no client.
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
		if b.idle["s"][0].idleSince = time.Now().Add(-reuseDelay); b.open != 1 {
			t.Fatal("not reused")
		}
	}
	b.idle["s"][0].idleSince = time.Now().Add(-15 * time.Millisecond)
	got, err := b.acquire("s")
	if err != nil || got.conn != nil {
		t.Errorf("%v %v: reused before reuseDelay had passed", got.conn, err)
	}
}

// A response that stops in the middle ends its attempt with the attempt's time, and its connection is not kept.
func TestStalledResponseEndsAttempt(t *testing.T) {
	s := serveRaw(t, func(int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello" })
	b := poolFor(t, s.addr)
	ctx, cancel := context.WithTimeoutCause(context.Background(), time.Second, core.ErrTimedOut)
	defer cancel()
	if result, _, _ := attemptAt(t, ctx, b, ""); result != decide.TimedOut {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Error("its connection was kept")
	}
}

// Thousands of servers that are added and removed leave no data behind. An address that a new server has taken over no
// longer belongs to the old one, even before the list removes the old one.
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
		t.Errorf("result %v, %d requests reached the new server", result, len(s.seen))
	}
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "s", State: decide.Removed}}}})
	if at("new") != s.addr || b.addresses.Server(s.addr) != "new" {
		t.Error("the removal of the old server removed the new server's address")
	}
}

// If idle connections turn out to be dead, connections are kept idle for a shorter time, and for a longer time again
// once connections that were idle for long are found working. A new connection that breaks does not change the time.
func TestIdleTimeAdaptsToDeadConnections(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	for range 20 {
		b.learnIdle(b.maxIdle/10, false)
	}
	if b.learnedMaxIdle > b.maxIdle/8 || b.learnedMaxIdle < b.maxIdle/64 {
		t.Errorf("kept for %v of %v after many dead connections", b.learnedMaxIdle, b.maxIdle)
	}
	for range 2000 {
		b.learnIdle(b.learnedMaxIdle*3/4, true)
	}
	if b.learnedMaxIdle != b.maxIdle {
		t.Errorf("kept for %v of %v after many working connections", b.learnedMaxIdle, b.maxIdle)
	}
	b.learnIdle(0, false)
	if b.learnedMaxIdle != b.maxIdle {
		t.Error("a new connection that broke changed the idle time")
	}
}

// Only a connection whose other end is closed already is reset at once. A connection that breaks while a request is
// being served is no evidence of how long connections may be idle: if many such breaks shortened that time, no
// connection would be kept in the end.
func TestOnlyImmediateResetCountsAsDeadIdleConnection(t *testing.T) {
	for name, row := range map[string]struct {
		after, roundTrip time.Duration
		result           decide.Result
		learns           bool
	}{
		"reset after a round trip":      {time.Second, time.Second, decide.Reset, true},
		"reset during a request":        {time.Second, time.Millisecond, decide.Reset, false},
		"broke during the write":        {time.Second, time.Millisecond, decide.Incomplete, true},
		"invalid responses say nothing": {0, time.Second, decide.Errored, false},
	} {
		b := poolFor(t, "127.0.0.1:9")
		near, far := net.Pipe()
		defer far.Close()
		c := &serverConn{Conn: near, addr: "127.0.0.1:9", dialTime: row.roundTrip, idleBefore: b.maxIdle / 10, writeStartedAt: time.Now().Add(-row.after)}
		b.closeAfterFailure("s", c, row.result)
		if learned := b.learnedMaxIdle < b.maxIdle; learned != row.learns {
			t.Errorf("%s: kept for %v of %v", name, b.learnedMaxIdle, b.maxIdle)
		}
	}
}

// stubOwner is an attemptOwner that admits or refuses writes and dials as its test specifies.
type stubOwner struct {
	probeOwner
	ended                           chan struct{}
	withdrawn, windowClosed, noDial bool
}

func (e stubOwner) Ended() <-chan struct{} { return e.ended }

func (e stubOwner) BeginWrite(func()) core.SendRefusal {
	switch {
	case hasEnded(e):
		return core.RequestAnswered
	case e.withdrawn:
		return core.ServerWithdrawn
	case e.windowClosed:
		return core.WindowClosed
	}
	return core.SendAllowed
}

func (e stubOwner) MayDial() bool { return !e.noDial }
