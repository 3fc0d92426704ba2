package ldap

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// Malformed input ends its connection with a Notice of Disconnection within a few seconds, takes bounded memory, and
// does not affect other connections.
func TestMalformedMessageEndsConnection(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{})
	good := a.dial(t)
	if _, err := good.Search(baseSearch()); err != nil {
		t.Fatal(err)
	}
	deepFilter := []byte{0xa0, 0} // nested AND filters
	for range 200 {
		deepFilter = append([]byte{0xa0, 0x82, byte(len(deepFilter) >> 8), byte(len(deepFilter))}, deepFilter...)
	}
	body := append([]byte{0x04, 0, 0x0a, 1, 0, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0}, deepFilter...)
	nested := ldapmsg.WithID(3, append([]byte{ldapmsg.SearchRequest, 0x82, byte(len(body) >> 8), byte(len(body))}, body...))
	stall := make(chan struct{})
	defer close(stall)
	for name, text := range map[string][]byte{
		"60 MB":             {0x30, 0x84, 0x03, 0x93, 0x87, 0x00, 0x02, 1, 1},
		"indefinite length": {0x30, 0x80, 0x02, 1, 1, 0x42, 0, 0, 0},
		"length of 5":       {0x30, 0x85, 0, 0, 0, 0, 5, 0x02, 1, 1, 0x42, 0},
		"wrong tag":         []byte("GET / HTTP/1.1\r\n\r\n"),
		"wrong operation":   ldapmsg.Response(1, ldapmsg.SearchDone, 0, ""),
		"no operation":      {0x30, 3, 0x02, 1, 1},
		"id 0":              rawSearch(0, 0),
		"negative id":       {0x30, 5, 0x02, 1, 0xff, 0x42, 0},
		"nesting":           nested,
		"past its end":      {0x30, 5, 0x02, 1, 1, 0x63, 9},
		"slow sender":       {0x30, 20, 0x02},
		"silence":           {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := a.dialRaw(t)
			began := time.Now()
			if _, err := c.Write(text); err != nil {
				t.Fatal(err)
			}
			raw, err := ldapmsg.NewReader(c, 1<<20).Next()
			if err != nil {
				t.Fatalf("no notice: %v", err)
			}
			m, err := ldapmsg.Parse(raw)
			if err != nil || m.ID != 0 || m.Op != ldapmsg.ExtResponse || !strings.Contains(string(m.Content), ldapmsg.OIDDisconnection) {
				t.Errorf("%+v, %v", m, err)
			}
			if took := time.Since(began); took > testkit.EventTimeout/2 {
				t.Errorf("after %v", took)
			}
		})
	}
	// A request whose message ID is in use also ends its connection.
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			return directory.Fault{Wait: 50 * time.Millisecond}
		}
		return directory.Fault{}
	})
	c := a.dialRaw(t)
	if _, err := c.Write(append(rawSearch(4, 2), rawSearch(4, 2)...)); err != nil {
		t.Fatal(err)
	}
	in := ldapmsg.NewReader(c, 1<<20)
	dones, notices := 0, 0
	for {
		raw, err := in.Next()
		if err != nil {
			break
		}
		switch m, _ := ldapmsg.Parse(raw); m.Op {
		case ldapmsg.SearchDone:
			dones++
		case ldapmsg.ExtResponse:
			notices++
		}
	}
	if dones != 1 || notices != 1 { // the admitted search is answered, then comes the notice
		t.Errorf("%d answers, %d notices", dones, notices)
	}
	// Garbage after an UnbindRequest has no effect.
	c = a.dialRaw(t)
	if _, err := c.Write(append(ldapmsg.Unbind(1), "garbage"...)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("garbage after an UnbindRequest was answered")
	}
	if _, err := good.Search(baseSearch()); err != nil {
		t.Errorf("another connection was affected: %v", err)
	}
}

// Connections without requests are evicted in favour of a new one that sends a request.
func TestQuietConnectionsAreEvicted(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	cfg := testConfig(t, d)
	cfg.Sockets = 64
	a := startAgent(t, cfg, Options{})
	for range 60 {
		c, err := net.Dial("tcp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if _, err := a.dial(t).Search(baseSearch()); err != nil {
		t.Error(err)
	}
}

// When the agent stops, admitted operations are answered, clients get a Notice of Disconnection, and later requests
// are not admitted.
func TestDrainCompletesAdmittedOperations(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.Script(func(o directory.Op) directory.Fault {
		arrived <- struct{}{}
		return directory.Fault{Stall: hold}
	})
	a := startAgent(t, testConfig(t, d), Options{})
	a.p.firstRequestGrace = 2 * testkit.EventTimeout
	busy, quiet, unused := a.dialRaw(t), a.dialRaw(t), a.dialRaw(t) // the last sends no request yet
	cancelOfUnknown := ldapmsg.Extended(1, ldapmsg.OIDCancel, []byte{0x30, 3, 2, 1, 9})
	ask := func(c net.Conn) {
		t.Helper()
		if _, err := c.Write(cancelOfUnknown); err != nil {
			t.Fatal(err)
		}
		raw, err := ldapmsg.NewReader(c, 1<<20).Next()
		if err != nil {
			t.Fatal(err)
		}
		if m, _ := ldapmsg.Parse(raw); m.ID != 1 {
			t.Errorf("%+v", m)
		}
	}
	ask(quiet)
	if _, err := busy.Write(rawSearch(1, 0)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", arrived)
	testkit.WaitFor(t, "all connections", func() bool { a.p.mu.Lock(); defer a.p.mu.Unlock(); return len(a.p.sessions) == 3 })
	a.stop()
	testkit.WaitFor(t, "the stop", func() bool { a.p.mu.Lock(); defer a.p.mu.Unlock(); return a.p.draining })
	ask(unused) // the first request of a connection is answered, even just after the agent began to drain
	unused.Close()
	read := func(c net.Conn) (ops []byte) {
		in := ldapmsg.NewReader(c, 1<<20)
		for {
			raw, err := in.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Errorf("the connection did not end with EOF: %v", err)
				}
				return ops
			}
			m, _ := ldapmsg.Parse(raw)
			ops = append(ops, m.Op)
		}
	}
	if got := read(quiet); string(got) != string([]byte{ldapmsg.ExtResponse}) {
		t.Errorf("the idle connection got %x", got)
	}
	close(hold)
	if got := read(busy); string(got) != string([]byte{ldapmsg.SearchEntry, ldapmsg.SearchDone, ldapmsg.ExtResponse}) {
		t.Errorf("the busy connection got %x", got)
	}
	if err := testkit.Receive(t, "end", a.done); err != nil {
		t.Error(err)
	}
}

// After a panic in the core's loop, all admitted operations are answered as failed.
func TestPanicAnswersAdmittedOperations(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault {
		arrived <- struct{}{}
		return directory.Fault{Stall: hold}
	})
	cfg := testConfig(t, d)
	a, _, err := newAgent(cfg, Options{}, testkit.DiscardLogger, core.Options{NoLateConnections: true})
	if err != nil {
		t.Fatal(err)
	}
	var panicNow atomic.Bool
	a.SetStepHook(func(core.Totals) {
		if panicNow.Load() {
			panic("injected by the test")
		}
	})
	ended := make(chan error, 1)
	go func() { ended <- a.Run(t.Context()) }()
	c, err := client.DialURL("ldap://" + a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answered := make(chan error, 2)
	go func() { answered <- c.Modify(newModify("x")) }()
	testkit.Receive(t, "the modify", arrived)
	panicNow.Store(true)
	go func() { answered <- c.Modify(newModify("y")) }()
	for range 2 {
		if err := testkit.Receive(t, "answer", answered); resultCode(err) != ldapmsg.Other {
			t.Errorf("%v", err)
		}
	}
	if err := testkit.Receive(t, "end", ended); !errors.Is(err, core.ErrPanic) {
		t.Errorf("%v", err)
	}
}

// A client that reads slowly delays its own search, and no operation of other clients.
func TestSlowClientDoesNotBlockOthers(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	long := strings.Repeat("x", 8<<10)
	for n := range 2000 {
		d.Add(fmt.Sprintf("cn=%d,ou=big", n), map[string][]string{"v": {long}})
	}
	a := startAgent(t, testConfig(t, d), Options{})
	slow := a.dialRaw(t)
	body := append([]byte{0x04, 6}, "ou=big"...)
	body = append(body, 0x0a, 1, 2, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0, 0x87, 2, 'c', 'n', 0x30, 0)
	if _, err := slow.Write(ldapmsg.WithID(1, append([]byte{ldapmsg.SearchRequest, byte(len(body))}, body...))); err != nil {
		t.Fatal(err)
	}
	c := a.dial(t)
	for range 50 {
		if _, err := c.Search(baseSearch()); err != nil {
			t.Fatal(err)
		}
	}
	in, n := ldapmsg.NewReader(slow, 1<<20), 0
	for {
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m, _ := ldapmsg.Parse(raw); m.Op == ldapmsg.SearchDone {
			break
		}
		n++
	}
	if n != 2000 {
		t.Errorf("%d entries", n)
	}
}
