package ldap

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// A write that is delayed between its last check and the system call does not come after the final answer of its
// operation.
func TestNothingIsWrittenAfterTheFinalAnswer(t *testing.T) {
	const heldFor = 400 * time.Millisecond
	cfg := testConfig(t, startDirectory(t, "one", directory.Options{}))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Objective, cfg.Settings.Classes[i].Deadline = 100*time.Millisecond, 100*time.Millisecond
	}
	r := startAgent(t, cfg, Options{})
	held := make(chan *testkit.HeldWrite, 1)
	r.p.pool.dialer = testkit.HoldWrites(held)
	c := r.dial(t)
	answered := make(chan error, 1)
	go func() { answered <- c.Modify(newModify("x")) }()
	h := testkit.Receive(t, "dial", held)
	testkit.Receive(t, "write", h.Entered)
	hold := time.NewTimer(heldFor)
	defer hold.Stop()
	select {
	case err := <-answered:
		t.Errorf("the final answer came (%v) before a write for its operation that was under way", err)
		answered <- err
	case <-hold.C:
	}
	close(h.Release)
	if err := testkit.Receive(t, "final answer", answered); resultCode(err) != client.LDAPResultOther {
		t.Errorf("%v", err)
	}
}

// If a server's address changes while a connection to the old address is being opened, nothing is sent to the old
// address, which may belong to another server by then.
func TestNothingIsSentToOldAddressOfMovedServer(t *testing.T) {
	old, moved := startDirectory(t, "one", directory.Options{}), startDirectory(t, "one", directory.Options{})
	r := startAgent(t, testConfig(t, old), Options{})
	held, dialing := make(chan struct{}), make(chan struct{}, 4)
	dial := r.p.pool.dialer
	r.p.pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == old.Addr() {
			dialing <- struct{}{}
			<-held
		}
		return dial(ctx, network, addr)
	}
	c := r.dial(t)
	done := make(chan error, 1)
	go func() { _, err := c.Search(baseSearch()); done <- err }()
	testkit.Receive(t, "dial", dialing)
	hub := discovery.NewHub(discovery.HubOptions{Log: testkit.DiscardLogger})
	hub.Apply(&discovery.Update{Version: 42, Full: true, Servers: []discovery.Server{moved.Member("ready")}})
	r.FollowHub(hub)
	testkit.WaitFor(t, "the list", func() bool {
		r.p.pool.mu.Lock()
		defer r.p.pool.mu.Unlock()
		addr, _ := r.p.pool.addresses.Addr("one")
		return addr == moved.Addr()
	})
	close(held)
	if err := testkit.Receive(t, "answer", done); err != nil {
		t.Error(err)
	}
	if n := old.Served("search") + old.Served("lookup"); n != 0 {
		t.Errorf("the old address had %d searches", n)
	}
}

// An operation that its client abandons or cancels while a server connection for it is being opened is not sent to a
// server, even if the core's loop handles the abandon or cancel late.
func TestAbandonedOperationIsNotSent(t *testing.T) {
	for name, endRequest := range map[string][]byte{"abandon": ldapmsg.Abandon(8, 7), "cancel": ldapmsg.Cancel(8, 7)} {
		t.Run(name, func(t *testing.T) {
			d := startDirectory(t, "one", directory.Options{})
			a, p, err := newAgent(testConfig(t, d), Options{}, testkit.DiscardLogger, core.Options{NoLateConnections: true, HeartbeatTimeout: 2 * testkit.EventTimeout})
			if err != nil {
				t.Fatal(err)
			}
			var stop atomic.Bool
			paused, release := make(chan struct{}), make(chan struct{})
			a.SetStepHook(func(core.Totals) {
				if stop.CompareAndSwap(true, false) {
					close(paused)
					<-release
				}
			})
			dial := p.pool.dialer
			dialing, proceed := make(chan struct{}, 4), make(chan struct{})
			p.pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialing <- struct{}{}
				<-proceed
				return dial(ctx, network, addr)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- a.Run(ctx) }()
			r := &testAgent{Agent: a, p: p, log: &logBuffer{}}
			c := r.dialRaw(t)
			send := func(b []byte) {
				t.Helper()
				if _, err := c.Write(b); err != nil {
					t.Fatal(err)
				}
			}
			send(rawModify(7, "cn=a,dc=ward", "x"))
			testkit.Receive(t, "dial", dialing)
			stop.Store(true)
			send(rawSearch(6, 0)) // makes the loop take a step, in which the hook pauses it
			testkit.Receive(t, "pause of the loop", paused)
			send(endRequest)
			testkit.WaitFor(t, "the abandon or cancel", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				for s := range p.sessions {
					s.mu.Lock()
					o := s.operations[7]
					s.mu.Unlock()
					if o == nil {
						continue
					}
					o.mu.Lock()
					defer o.mu.Unlock()
					return o.abandoned || o.cancelled
				}
				return false
			})
			close(proceed)
			testkit.WaitFor(t, "the end of the attempt", func() bool {
				p.pool.mu.Lock()
				defer p.pool.mu.Unlock()
				for _, list := range p.pool.conns {
					for _, c := range list {
						if c.users == 0 {
							return true
						}
					}
				}
				return len(d.Ran()) > 0
			})
			close(release)
			if got := d.Ran()["modify cn=a,dc=ward x"]; got != 0 {
				t.Errorf("it ran %d times", got)
			}
			cancel()
			testkit.Receive(t, "end", ended)
		})
	}
}

// A request that was read just before its session closed, and that is handled after the Notice of Disconnection, can
// have no response, so it is not executed.
func TestNothingIsExecutedAfterNoticeOfDisconnection(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	r := startAgent(t, testConfig(t, d), Options{})
	c := r.dialRaw(t)
	var s *session
	testkit.WaitFor(t, "the session", func() bool {
		r.p.mu.Lock()
		defer r.p.mu.Unlock()
		for s = range r.p.sessions {
		}
		return s != nil
	})
	go s.closeWithNotice(ldapmsg.Unavailable, "closing")
	in := ldapmsg.NewReader(c, 1<<20)
	if _, err := in.Next(); err != nil {
		t.Fatalf("notice: %v", err)
	}
	raw := rawSearch(1, 0)
	m, err := ldapmsg.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	s.handleOperation(raw, m)
	if raw, err := in.Next(); err == nil {
		t.Errorf("%x after the notice", raw)
	}
	if n := r.p.openOperations.Load(); n != 0 {
		t.Errorf("%d open operations", n)
	}
	if n := d.Served("search"); n != 0 {
		t.Errorf("%d searches were executed", n)
	}
}
