package ldap

import (
	"net"
	"testing"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// unusedConns returns the number of server connections that no operation uses, and whether all are unused.
func (r *testAgent) unusedConns() (unused int, all bool) {
	r.p.pool.mu.Lock()
	defer r.p.pool.mu.Unlock()
	all = true
	for _, list := range r.p.pool.conns {
		for _, c := range list {
			if c.users == 0 {
				unused++
			}
			all = all && c.users == 0
		}
	}
	return unused, all
}

// closeSessionOf closes the session of the open operation with a message ID, as its writer does when a write fails.
func (r *testAgent) closeSessionOf(id int32) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	for s := range r.p.sessions {
		s.mu.Lock()
		open := s.operations[id] != nil
		s.mu.Unlock()
		if open {
			s.closeNow()
		}
	}
}

// intermediate is an IntermediateResponse without fields, which may precede any final response (RFC 4511, 4.13).
var intermediate = []byte{ldapmsg.Intermediate, 0}

// The server connection of a bind without a response served clients that are not bound, as the bind's user.
func TestConnectionOfUnansweredBindServesNobodyElse(t *testing.T) {
	const (
		bindID       = 7
		bindDeadline = 2 * time.Second
	)
	simple := ldapmsg.SimpleBind(bindID, []byte("cn=admin"), []byte("secret-1"))
	sasl := saslBindStep(bindID)
	leave := func(a *testAgent, _ net.Conn) { a.closeSessionOf(bindID) }
	stay := func(*testAgent, net.Conn) {}
	for name, row := range map[string]struct {
		bind   []byte
		during func(*testAgent, net.Conn) // what the client does while the bind is at the server
		early  bool                       // the bind is executed before its deadline
		ahead  [][]byte                   // what the server sends before the response to the bind
	}{
		"the client leaves":                                       {bind: simple, during: leave},
		"the client stays":                                        {bind: simple, during: stay},
		"the client resets the connection":                        {bind: simple, during: func(_ *testAgent, c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }},
		"the client leaves a SASL bind":                           {bind: sasl, during: leave},
		"the client stays after a SASL bind":                      {bind: sasl, during: stay},
		"the agent is stopped":                                    {bind: simple, during: func(a *testAgent, _ net.Conn) { a.p.SetDraining(true) }},
		"the client leaves, the server responds":                  {bind: simple, during: leave, early: true},
		"the client leaves, the server responds to a SASL bind":   {bind: sasl, during: leave, early: true},
		"the client leaves, the server sends two messages":        {bind: simple, during: leave, early: true, ahead: [][]byte{intermediate}},
		"the client leaves, the server sends two for a SASL bind": {bind: sasl, during: leave, early: true, ahead: [][]byte{intermediate}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDirectory(t, "one", directory.Options{})
			hold, arrived := make(chan struct{}), make(chan struct{}, 1)
			d.Script(func(o directory.Op) directory.Fault {
				if o.Kind == "bind" {
					arrived <- struct{}{}
					return directory.Fault{Stall: hold, Ahead: row.ahead}
				}
				return directory.Fault{}
			})
			cfg := testConfig(t, d)
			if !row.early {
				bind := cfg.Settings.Classes[0]
				bind.Deadline = bindDeadline
				cfg.Site.Classes = append(cfg.Site.Classes, "bind")
				cfg.Settings.Classes = append(cfg.Settings.Classes, bind)
			}
			a := startAgent(t, cfg, Options{})
			c := a.dialRaw(t)
			if _, err := c.Write(row.bind); err != nil {
				t.Fatal(err)
			}
			testkit.Receive(t, "the bind at the server", arrived)
			row.during(a, c)
			if row.early {
				testkit.WaitFor(t, "the client's end", func() bool { return a.Totals().ClientDisconnects == 1 })
				close(hold)
			}
			testkit.WaitFor(t, "the attempt to end", func() bool { _, all := a.unusedConns(); return all })
			if !row.early {
				close(hold)
			}
			testkit.WaitFor(t, "the bind to be executed", func() bool { return d.Binds() == 1 })
			a.p.SetDraining(false)
			for range 10 {
				if authz, err := a.dial(t).WhoAmI(nil); err != nil || authz.AuthzID != "" {
					t.Fatalf("a client that is not bound is served as %+v, %v", authz, err)
				}
			}
		})
	}
}
