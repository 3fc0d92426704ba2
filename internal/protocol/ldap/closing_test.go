package ldap

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// These tests guard against requests that are dropped without a response as their session closes. A session checked
// that no operation was open, and then sent the Notice of Disconnection, while its reader had read a request but had
// not yet entered it among the open operations. The client saw
//
//	ldap_test.go:89: after the change: unable to read LDAP response packet: EOF
//
// This happened in about 1 in 100 runs of TestLDAPInstance, and to 18 of 10,822 clients that dial, send one request
// and close, over 400 reloads. The reader had set hasRequested, so that drain did not wait for a first request, and
// had not yet taken the lock under which the operation is entered. Every other reason to close a session had the same
// race.

// onlySession waits until the agent has a session, and returns it. The agent must have no more than one.
func (r *testAgent) onlySession(t testing.TB) *session {
	t.Helper()
	var found *session
	testkit.WaitFor(t, "the session", func() bool {
		r.p.mu.Lock()
		defer r.p.mu.Unlock()
		for found = range r.p.sessions {
		}
		return found != nil
	})
	return found
}

// readUntilEnd returns the messages up to the end of the connection, and checks that the connection was not reset.
func readUntilEnd(t testing.TB, c net.Conn) (all []ldapmsg.Message) {
	t.Helper()
	in := ldapmsg.NewReader(c, 1<<20)
	for {
		raw, err := in.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				t.Errorf("the connection did not end with EOF: %v", err)
			}
			return all
		}
		m, err := ldapmsg.Parse(append([]byte{}, raw...))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, m)
	}
}

// summary returns the final responses among all as ID:resultCode, and a Notice of Disconnection as "notice".
func summary(all []ldapmsg.Message) string {
	var out []string
	for _, m := range all {
		code, isResult := m.Code()
		switch {
		case m.ID == 0 && strings.Contains(string(m.Content), ldapmsg.OIDDisconnection):
			out = append(out, "notice")
		case isResult && m.Op != ldapmsg.SearchEntry:
			out = append(out, fmt.Sprintf("%d:%d", m.ID, code))
		}
	}
	return strings.Join(out, " ")
}

// A request that the reader has just read when its session begins to close, for whatever reason, gets its response
// before the Notice of Disconnection.
func TestRequestReadAsTheSessionClosesIsAnswered(t *testing.T) {
	requests := map[string][]byte{
		"search":           rawSearch(1, 0),
		"modify":           rawModify(1, "cn=a,dc=ward", "x"),
		"simple bind":      ldapmsg.SimpleBind(1, []byte("cn=admin"), []byte("secret-1")),
		"extended request": ldapmsg.Extended(1, ldapmsg.OIDWhoAmI, nil),
	}
	reasons := map[string]func(*testAgent, *session){
		"the agent drains": func(r *testAgent, _ *session) { r.p.SetDraining(true) },
		// Performs the close that follows the check in an eviction.
		"it is evicted": func(_ *testAgent, s *session) {
			go s.closeWithNotice(ldapmsg.Unavailable, "too many connections: this one was idle for longest")
		},
	}
	for request, text := range requests {
		for reason, end := range reasons {
			t.Run(request+" as "+reason, func(t *testing.T) {
				t.Parallel()
				r := startAgent(t, testConfig(t, startDirectory(t, "one", directory.Options{})), Options{})
				for n := 0; n < races; {
					if raceRequestAndClose(t, r, text, end) {
						n++
					}
				}
			})
		}
	}
}

// races is how many times a test lets a request race with the close: it can't control which goroutine gets the lock
// first.
const races = 10

// raceRequestAndClose holds a session's lock until the reader has read a request and another goroutine has begun to
// close the session. It returns false if it took the lock before the reader had begun to read, so that there was no
// race.
func raceRequestAndClose(t *testing.T, r *testAgent, request []byte, end func(*testAgent, *session)) bool {
	t.Helper()
	r.p.SetDraining(false)
	c := r.dialRaw(t)
	s := r.onlySession(t)
	s.mu.Lock() // no other goroutine can check the open operations, or enter one
	if _, err := c.Write(request); err != nil {
		t.Fatal(err)
	}
	for waited := 0; !s.hasRequested.Load() && waited < 100; waited++ {
		time.Sleep(time.Millisecond)
	}
	crossed := s.hasRequested.Load()
	end(r, s)
	time.Sleep(10 * time.Millisecond) // the closing goroutine waits for the lock too, after the reader or before it
	s.mu.Unlock()
	if got := summary(readUntilEnd(t, c)); got != "1:0 notice" {
		t.Errorf("%q", got)
	}
	c.Close()
	testkit.WaitFor(t, "the session's end", func() bool { r.p.mu.Lock(); defer r.p.mu.Unlock(); return len(r.p.sessions) == 0 })
	return crossed
}

// A request that arrives just after the reader's read has timed out is answered.
func TestRequestThatComesAsTheReadTimesOutIsAnswered(t *testing.T) {
	const maxIdle = 100 * time.Millisecond
	r := startAgent(t, testConfig(t, startDirectory(t, "one", directory.Options{})), Options{MaxIdle: maxIdle})
	c := r.dialRaw(t)
	s := r.onlySession(t)
	if _, err := c.Write(rawSearch(1, 0)); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the first search", func() bool { return r.Totals().Served == 1 })
	s.mu.Lock()
	time.Sleep(3 * maxIdle) // the reader's read has timed out, and the reader waits for the lock
	if _, err := c.Write(rawSearch(2, 0)); err != nil {
		t.Fatal(err)
	}
	s.mu.Unlock()
	if got := summary(readUntilEnd(t, c)); got != "1:0 2:0 notice" {
		t.Errorf("%q", got)
	}
}

// On a closing session that still has an open operation, a further request is rejected at once, and not executed.
// Before, such a request stayed unread, and was dropped when the Notice of Disconnection was sent.
func TestRequestOnAClosingSessionIsRejectedAtOnce(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 10)
	d.Script(func(o directory.Op) directory.Fault {
		arrived <- struct{}{}
		if o.Kind == "search" {
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	r := startAgent(t, testConfig(t, d), Options{})
	c := r.dialRaw(t)
	if _, err := c.Write(rawSearch(1, 2)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", arrived)
	s := r.onlySession(t)
	r.p.SetDraining(true)
	testkit.WaitFor(t, "the session to close", s.isClosing)
	time.Sleep(20 * time.Millisecond) // the reader has handled the requests that had arrived
	requests := map[string][]byte{
		"2": rawModify(2, "cn=a,dc=ward", "x"),
		"3": ldapmsg.SimpleBind(3, []byte("cn=admin"), []byte("secret-1")),
		"4": ldapmsg.Extended(4, ldapmsg.OIDWhoAmI, nil),
		"5": ldapmsg.Extended(5, ldapmsg.OIDStartTLS, nil),
	}
	in := ldapmsg.NewReader(c, 1<<20)
	for id, text := range requests {
		if _, err := c.Write(text); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(testkit.EventTimeout / 4)); err != nil {
			t.Fatal(err)
		}
		raw, err := in.Next()
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		if code, _ := m.Code(); fmt.Sprint(m.ID) != id || code != ldapmsg.Unavailable || !strings.Contains(string(m.Content), "nothing was done") {
			t.Errorf("request %s: %d, code %d, %q", id, m.ID, code, m.Content)
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	close(hold)
	if got := summary(readUntilEnd(t, c)); got != "1:0 notice" {
		t.Errorf("%q", got)
	}
	if ran := d.Ran(); len(ran) != 0 {
		t.Errorf("executed: %v", ran)
	}
}

// A Cancel request that was sent to a server gets its response before the Notice of Disconnection.
func TestCancelIsAnsweredBeforeTheNotice(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan directory.Op, 10)
	d.Script(func(o directory.Op) directory.Fault {
		arrived <- o
		if o.Kind == "extended" {
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{Stall: make(chan struct{}), Wait: 50 * time.Millisecond}
	})
	cfg := testConfig(t, d)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = 600 * time.Millisecond
		cfg.Settings.Classes[i].Objective = 600 * time.Millisecond
	}
	r := startAgent(t, cfg, Options{})
	c := r.dialRaw(t)
	if _, err := c.Write(rawSearch(1, 2)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", arrived)
	testkit.WaitFor(t, "the attempt", func() bool { return r.hasAttempt(1) })
	if _, err := c.Write(ldapmsg.Cancel(2, 1)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the Cancel request", arrived)
	// The search ends at its deadline, and the wait for the server's response to the Cancel ends at about the same
	// time.
	r.p.SetDraining(true)
	got := summary(readUntilEnd(t, c))
	close(hold)
	if !strings.HasSuffix(got, " notice") || !strings.Contains(got, "2:") || !strings.Contains(got, "1:") {
		t.Errorf("%q", got)
	}
}

// A TLS handshake that is under way when the agent begins to drain is completed, and the Notice of Disconnection is
// sent over TLS. Before, the handshake was interrupted: it failed, or the client got the notice in plain text during
// the handshake.
func TestHandshakeDuringDrainIsCompleted(t *testing.T) {
	ca := newTestCA(t)
	cert, key, _ := ca.issue(t, "agent")
	for name, ldaps := range map[string]bool{"StartTLS": false, "LDAPS": true} {
		t.Run(name, func(t *testing.T) {
			r := startAgent(t, testConfig(t, startDirectory(t, "one", directory.Options{})), Options{Certificate: cert, Key: key, LDAPS: ldaps})
			r.p.firstRequestGrace = time.Millisecond
			c := r.dialRaw(t)
			s := r.onlySession(t)
			if !ldaps {
				if _, err := c.Write(ldapmsg.Extended(1, ldapmsg.OIDStartTLS, nil)); err != nil {
					t.Fatal(err)
				}
				raw, err := ldapmsg.NewReader(c, 1<<20).Next()
				if err != nil {
					t.Fatal(err)
				}
				if m, err := ldapmsg.Parse(raw); err != nil || m.ID != 1 {
					t.Fatalf("%+v, %v", m, err)
				}
			}
			r.p.SetDraining(true)
			testkit.WaitFor(t, "the session to close", s.isClosing)
			secured := tls.Client(c, ca.trust())
			if err := secured.Handshake(); err != nil {
				t.Fatalf("handshake: %v", err)
			}
			if got := summary(readUntilEnd(t, secured)); got != "notice" {
				t.Errorf("%q", got)
			}
		})
	}
}

// A step of a SASL bind that is read as the agent begins to drain gets its response.
func TestSASLStepDuringDrainIsAnswered(t *testing.T) {
	r := startAgent(t, testConfig(t, startDirectory(t, "one", directory.Options{})), Options{})
	c := r.dialRaw(t)
	s := r.onlySession(t)
	if _, err := c.Write(saslBindStep(1)); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the first step", func() bool { return r.Totals().Served == 1 })
	testkit.WaitFor(t, "the end of the first step", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.operations) == 0 })
	received := s.lastReceived.Load()
	s.mu.Lock()
	if _, err := c.Write(saslBindStep(2)); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the second step to be read", func() bool { return s.lastReceived.Load() != received })
	r.p.SetDraining(true)
	time.Sleep(20 * time.Millisecond)
	s.mu.Unlock()
	if got := summary(readUntilEnd(t, c)); got != fmt.Sprintf("1:%d 2:0 notice", ldapmsg.SASLBindInProgress) {
		t.Errorf("%q", got)
	}
}

// The time that a connection waits in the accept queue counts towards the deadline of its first operation, as over
// HTTP (see http1: TestAcceptQueueTimeCountsTowardsDeadline).
func TestDeadlineRunsInTheAcceptQueue(t *testing.T) {
	const (
		deadline = 2 * time.Second
		queued   = 1500 * time.Millisecond
	)
	d := startDirectory(t, "one", directory.Options{})
	stall := make(chan struct{})
	defer close(stall)
	d.Script(func(directory.Op) directory.Fault { return directory.Fault{Stall: stall} })
	cfg := testConfig(t, d)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Objective = deadline
		cfg.Settings.Classes[i].Deadline = deadline
	}
	acceptHeld := make(chan struct{})
	l := testkit.HeldListener{TCPListener: testkit.Listen(t).(*net.TCPListener), Release: acceptHeld}
	a, _, err := newAgent(cfg, Options{}, testkit.DiscardLogger, core.Options{Listener: l, NoLateConnections: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() { cancel(); testkit.Receive(t, "end", ended) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(rawSearch(1, 0)); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	time.Sleep(queued)
	close(acceptHeld)
	if _, err := ldapmsg.NewReader(c, 1<<20).Next(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(sent); took > deadline+queued/2 {
		t.Errorf("answered after %v, the deadline is %v", took, deadline)
	}
}
