package ldap

import (
	"testing"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// The agent does not read a client's connection while a bind of that client waits for earlier operations or for its
// response, nor once the agent is stopping. If the client disconnects then, no attempt begins for its operations
// either.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	bind, lookup := ldapmsg.SimpleBind(2, []byte("cn=admin"), []byte("secret-1")), rawSearch(1, 0)
	for name, row := range map[string]struct {
		sends []byte
		open  int64
		stops bool
	}{
		"a bind that is queued":                    {bind, 1, false},
		"an operation before a bind that waits":    {append(append([]byte{}, lookup...), bind...), 1, false},
		"an operation of an agent that is to stop": {lookup, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const serverLimit = 6 // attempts in flight that the balancer allows for one server at its start
			d := startDirectory(t, "one", directory.Options{})
			hold, arrived := make(chan struct{}), make(chan directory.Op, 100)
			d.Script(func(o directory.Op) directory.Fault {
				if arrived <- o; o.Kind == "search" {
					return directory.Fault{Stall: hold}
				}
				return directory.Fault{}
			})
			cfg := testConfig(t, d)
			for i := range cfg.Settings.Classes {
				// With this objective, queued operations wait for long.
				cfg.Settings.Classes[i].Objective = cfg.Settings.Classes[i].Deadline
			}
			a := startAgent(t, cfg, Options{})
			others := make(chan error, serverLimit)
			for range serverLimit {
				c := a.dial(t)
				go func() { _, err := c.Search(subtreeSearch()); others <- err }()
			}
			for range serverLimit {
				testkit.Receive(t, "search at the server", arrived)
			}
			c := a.dialRaw(t)
			if _, err := c.Write(row.sends); err != nil {
				t.Fatal(err)
			}
			testkit.WaitFor(t, "the operation", func() bool { return a.Totals().Requests == serverLimit+row.open })
			if row.stops {
				a.stop()
				testkit.WaitFor(t, "the stop", func() bool { a.p.mu.Lock(); defer a.p.mu.Unlock(); return a.p.draining })
			}
			testkit.HalfClose(t, c)
			c.Close()
			close(hold)
			for range serverLimit {
				if err := testkit.Receive(t, "answer", others); err != nil {
					t.Error(err)
				}
			}
			testkit.WaitFor(t, "the disconnect, or an attempt", func() bool { return a.Totals().ClientDisconnects >= 1 || len(arrived) > 0 })
			if len(arrived) > 0 {
				t.Errorf("%+v reached the server", <-arrived)
			}
		})
	}
}
