package ldap

import (
	"testing"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// An abandoned operation gets no response. The agent sends an AbandonRequest to its server, and counts a disconnect.
func TestAbandonedOperationGetsNoResponse(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 10)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			arrived <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	defer close(hold)
	a := startAgent(t, testConfig(t, d), Options{})
	c := a.dialRaw(t)
	send := func(b []byte) {
		t.Helper()
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	send(rawSearch(7, 2))
	testkit.Receive(t, "the search", arrived)
	send(ldapmsg.Abandon(8, 7))
	testkit.WaitFor(t, "the abandon at the server", func() bool { return d.Abandoned() == 1 })
	testkit.WaitFor(t, "the operation to be ended", func() bool { return a.Totals().ClientDisconnects == 1 })
	send(rawSearch(9, 0)) // the lookup is answered; no response to the abandoned search comes before it
	in := ldapmsg.NewReader(c, 1<<20)
	for _, want := range []byte{ldapmsg.SearchEntry, ldapmsg.SearchDone} {
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m, err := ldapmsg.Parse(raw); err != nil || m.ID != 9 || m.Op != want {
			t.Errorf("%+v, %v", m, err)
		}
	}
	send(ldapmsg.Abandon(10, 99)) // no operation has this message ID: no effect
	send(rawSearch(7, 0))         // the message ID of the abandoned search can be used again
	if raw, err := in.Next(); err != nil {
		t.Error(err)
	} else if m, _ := ldapmsg.Parse(raw); m.ID != 7 {
		t.Errorf("%+v", m)
	}
}

// rawSearch returns a SearchRequest. Scope 0 requests one entry, scope 2 all entries.
func rawSearch(id int32, scope byte) []byte {
	base := "cn=a,dc=ward"
	if scope > 0 {
		base = "dc=ward"
	}
	body := append([]byte{0x04, byte(len(base))}, base...)
	body = append(body, 0x0a, 1, scope, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0)
	body = append(body, 0x87, 11)
	body = append(body, "objectClass"...)
	body = append(body, 0x30, 0)
	op := append([]byte{ldapmsg.SearchRequest, byte(len(body))}, body...)
	return ldapmsg.WithID(id, op)
}

// A Cancel request (RFC 3909) for an operation that is on a server is sent to that server. The server determines the
// responses to both requests.
func TestCancelIsAnswered(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			arrived <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	a := startAgent(t, testConfig(t, d), Options{})
	c := a.dialRaw(t)
	if _, err := c.Write(rawSearch(5, 2)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", arrived)
	// The server may receive the search before the agent's write returns, and until then the agent can't cancel the
	// search.
	testkit.WaitFor(t, "the attempt", func() bool { return a.hasAttempt(5) })
	if _, err := c.Write(append(ldapmsg.Cancel(6, 5), ldapmsg.Cancel(7, 99)...)); err != nil {
		t.Fatal(err)
	}
	in := ldapmsg.NewReader(c, 1<<20)
	got := map[int32]int{}
	for range 3 {
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		m, _ := ldapmsg.Parse(raw)
		got[m.ID], _ = m.Code()
	}
	if got[5] != ldapmsg.Canceled || got[6] != ldapmsg.Success || got[7] != ldapmsg.NoSuchOperation {
		t.Errorf("%v", got)
	}
}
