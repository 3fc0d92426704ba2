package ldap

import (
	"net"
	"testing"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// bindSASL binds a raw connection by a SASL bind of two steps.
func bindSASL(t *testing.T, c net.Conn) {
	t.Helper()
	in := ldapmsg.NewReader(c, 1<<20)
	for step, want := range []int{ldapmsg.SASLBindInProgress, ldapmsg.Success} {
		if _, err := c.Write(saslBindStep(int32(step + 1))); err != nil {
			t.Fatal(err)
		}
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		m, err := ldapmsg.Parse(raw)
		if code, _ := m.Code(); err != nil || code != want {
			t.Fatalf("step %d: %+v, %v", step, m, err)
		}
	}
}

// Paged searches of a SASL client beyond the limit gave its bound connection to clients that are not bound.
func TestManyPagedSearchesKeepTheConnectionOfASASLBind(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{})
	raw := a.dialRaw(t)
	bindSASL(t, raw)
	bound := client.NewConn(raw, false)
	bound.Start()
	defer bound.Close()
	for range maxPagedSearches + 2 {
		s := subtreeSearch()
		s.Controls = []client.Control{client.NewControlPaging(1)}
		if _, err := bound.Search(s); err != nil {
			t.Fatal(err)
		}
		if authz, err := a.dial(t).WhoAmI(nil); err != nil || authz.AuthzID != "" {
			t.Fatalf("a client that is not bound is served as %+v, %v", authz, err)
		}
		if authz, err := bound.WhoAmI(nil); err != nil || authz.AuthzID != "dn:sasl" {
			t.Fatalf("the client of the SASL bind is served as %+v, %v", authz, err)
		}
	}
}

// A SASL bind that ended after its client had left kept its server connection open for good.
func TestLateResponseOfASASLBindReservesNoConnection(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.Script(func(directory.Op) directory.Fault {
		arrived <- struct{}{}
		return directory.Fault{Stall: hold}
	})
	a := startAgent(t, testConfig(t, d), Options{})
	c := a.dialRaw(t)
	const bindID = 7
	if _, err := c.Write(saslBindStep(bindID)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the bind at the server", arrived)
	a.closeSessionOf(bindID)
	testkit.WaitFor(t, "the client's end", func() bool { return a.Totals().ClientDisconnects == 1 })
	close(hold)
	testkit.WaitFor(t, "the connection to be closed", func() bool {
		a.p.pool.mu.Lock()
		defer a.p.pool.mu.Unlock()
		return a.p.pool.open == 0
	})
}
