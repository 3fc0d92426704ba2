package ldap

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// A server connection serves only the identity that is bound on it, and the agent repeats a client's bind on each
// server that it uses. Credentials are never logged.
func TestOperationsRunAsTheirClient(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	var mu sync.Mutex
	seen := map[string]map[string]bool{} // for each requested DN, the identities of the requests
	for _, d := range []*directory.Directory{one, two} {
		d.Script(func(o directory.Op) directory.Fault {
			if o.Kind == "lookup" {
				mu.Lock()
				defer mu.Unlock()
				if seen[o.DN] == nil {
					seen[o.DN] = map[string]bool{}
				}
				seen[o.DN][o.Who] = true
			}
			return directory.Fault{}
		})
	}
	a := startAgent(t, testConfig(t, one, two), Options{})
	admin, other, anonymous := a.dial(t), a.dial(t), a.dial(t)
	if err := admin.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	if err := other.Bind("cn=other", "secret-2"); err != nil {
		t.Fatal(err)
	}
	if err := anonymous.Bind("cn=admin", "secret-wrong"); resultCode(err) != client.LDAPResultInvalidCredentials {
		t.Fatalf("a wrong password: %v", err)
	}
	var all sync.WaitGroup
	for name, c := range map[string]*client.Conn{"a": admin, "b": other, "c": anonymous} {
		for range 4 {
			all.Go(func() {
				for range 20 {
					if _, err := c.Search(newSearch("cn="+name+",dc=ward", client.ScopeBaseObject)); err != nil {
						t.Errorf("%s: %v", name, err)
					}
				}
			})
		}
	}
	all.Wait()
	want := map[string]map[string]bool{"cn=a,dc=ward": {"cn=admin": true}, "cn=b,dc=ward": {"cn=other": true}, "cn=c,dc=ward": {"": true}}
	if fmt.Sprint(seen) != fmt.Sprint(want) {
		t.Errorf("%v", seen)
	}
	if one.Served("lookup") == 0 || two.Served("lookup") == 0 {
		t.Error("one of the two servers got no lookup")
	}
	if authz, err := admin.WhoAmI(nil); err != nil || authz.AuthzID != "dn:cn=admin" {
		t.Errorf("%+v, %v", authz, err)
	}
	// After a failed bind a client is anonymous (RFC 4511, 4.2.1).
	if err := admin.Bind("cn=admin", "secret-wrong"); resultCode(err) != client.LDAPResultInvalidCredentials {
		t.Errorf("%v", err)
	}
	if authz, err := admin.WhoAmI(nil); err != nil || authz.AuthzID != "" {
		t.Errorf("%+v, %v", authz, err)
	}
	if text := a.log.String(); strings.Contains(text, "secret") {
		t.Errorf("a password is in the log: %s", text)
	}
}

// A password is wiped from memory after the client connection that it was received on is closed.
func TestPasswordsAreWiped(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{})
	c := a.dial(t)
	if err := c.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	a.p.mu.Lock()
	var ident *identity
	for s := range a.p.sessions {
		s.mu.Lock()
		ident = s.identity
		s.mu.Unlock()
	}
	a.p.mu.Unlock()
	if ident == nil || string(ident.password) != "secret-1" {
		t.Fatalf("%+v", ident)
	}
	c.Close()
	testkit.WaitFor(t, "the password to be wiped", func() bool { return ident.refs.Load() == 0 && ident.password[0] == 0 })
	if strings.Trim(string(ident.password), "\x00") != "" {
		t.Errorf("%q is left", ident.password)
	}
}

// A bind whose response came just as its session was closed kept the password in memory.
func TestIdentityOfAClosedSessionIsWiped(t *testing.T) {
	p := &protocol{}
	s := &session{protocol: p, closed: true}
	ident := p.identity([]byte("cn=admin"), []byte("secret-1"))
	s.setIdentity(ident.retain(), nil)
	if s.identity != nil || ident.password[0] != 0 {
		t.Errorf("the session has the identity %+v; the password begins with %q", s.identity, ident.password[0])
	}
}

// If an operation's server connection has ended, the agent opens a new one and binds it with the client's identity.
func TestBindIsRepeatedOnNewServerConnection(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{})
	c := a.dial(t)
	if err := c.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	d.Kill()
	testkit.WaitFor(t, "the connections to end", func() bool { return d.Conns() == 0 })
	if authz, err := c.WhoAmI(nil); err != nil || authz.AuthzID != "dn:cn=admin" {
		t.Errorf("%+v, %v", authz, err)
	}
	if d.Binds() != 2 {
		t.Errorf("%d binds", d.Binds())
	}
}

// saslBindStep returns a BindRequest that is one step of a SASL exchange.
func saslBindStep(id int32) []byte {
	mech := "TWO-STEP"
	sasl := append([]byte{0x04, byte(len(mech))}, mech...)
	body := append([]byte{0x02, 1, 3, 0x04, 0, 0xa3, byte(len(sasl))}, sasl...)
	return ldapmsg.WithID(id, append([]byte{ldapmsg.BindRequest, byte(len(body))}, body...))
}

// All steps of a SASL bind and the operations that follow it use one server connection. When that connection ends,
// the client gets a response to its next request, and a Notice of Disconnection.
func TestSASLBindKeepsItsServerConnection(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	a := startAgent(t, testConfig(t, one, two), Options{})
	c := a.dialRaw(t)
	in := ldapmsg.NewReader(c, 1<<20)
	ask := func(b []byte) ldapmsg.Message {
		t.Helper()
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	if m := ask(saslBindStep(1)); func() int { n, _ := m.Code(); return n }() != ldapmsg.SASLBindInProgress {
		t.Fatalf("%+v", m)
	}
	if m := ask(saslBindStep(2)); func() int { n, _ := m.Code(); return n }() != ldapmsg.Success {
		t.Fatalf("%+v", m)
	}
	for i := range int32(20) {
		if m := ask(ldapmsg.Extended(3+i, ldapmsg.OIDWhoAmI, nil)); !strings.Contains(string(m.Content), "dn:sasl") {
			t.Fatalf("%q", m.Content)
		}
	}
	if one.Served("extended") != 0 && two.Served("extended") != 0 {
		t.Error("both servers got operations after the SASL bind")
	}
	one.Kill()
	two.Kill()
	testkit.WaitFor(t, "the connections to end", func() bool { return one.Conns()+two.Conns() == 0 })
	testkit.WaitFor(t, "the end to be seen", func() bool { a.p.pool.mu.Lock(); defer a.p.pool.mu.Unlock(); return a.p.pool.open == 0 })
	m := ask(ldapmsg.Extended(50, ldapmsg.OIDWhoAmI, nil))
	if code, _ := m.Code(); m.ID != 50 || m.Op != ldapmsg.ExtResponse || code != ldapmsg.Unavailable || !strings.Contains(string(m.Content), "nothing was done") {
		t.Errorf("the request got no response: %+v", m)
	}
	raw, err := in.Next()
	if err != nil {
		t.Fatal(err)
	}
	if m, err := ldapmsg.Parse(raw); err != nil || m.ID != 0 || m.Op != ldapmsg.ExtResponse || !strings.Contains(string(m.Content), ldapmsg.OIDDisconnection) {
		t.Errorf("no notice: %+v, %v", m, err)
	}
	if _, err := in.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
	// SASL EXTERNAL is rejected: the server would authenticate the agent instead of the client.
	c2 := a.dialRaw(t)
	mech := append([]byte{0x04, 8}, "EXTERNAL"...)
	body := append([]byte{0x02, 1, 3, 0x04, 0, 0xa3, byte(len(mech))}, mech...)
	if _, err := c2.Write(ldapmsg.WithID(1, append([]byte{ldapmsg.BindRequest, byte(len(body))}, body...))); err != nil {
		t.Fatal(err)
	}
	if raw, err = ldapmsg.NewReader(c2, 1<<20).Next(); err != nil {
		t.Fatal(err)
	}
	m, _ = ldapmsg.Parse(raw)
	if n, _ := m.Code(); n != ldapmsg.AuthMethodNotSupported {
		t.Errorf("%d", n)
	}
}

// When a password is changed while a client is bound with it, the agent tries the old password only once more.
// Repeated tries could lock the account.
func TestRejectedRebindAsksClientToBindAgain(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	a := startAgent(t, testConfig(t, one, two), Options{})
	c := a.dial(t)
	if err := c.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	binds := func() int { return one.Binds() + two.Binds() }
	for _, d := range []*directory.Directory{one, two} {
		d.Password("cn=admin", "secret-3")
		d.Kill()
	}
	testkit.WaitFor(t, "the connections to end", func() bool { return one.Conns()+two.Conns() == 0 })
	testkit.WaitFor(t, "the end to be seen", func() bool { a.p.pool.mu.Lock(); defer a.p.pool.mu.Unlock(); return a.p.pool.open == 0 })
	before := binds()
	for range 10 {
		if _, err := c.Search(lookupSearch()); resultCode(err) != ldapmsg.StrongerAuthRequired {
			t.Errorf("%v", err)
		}
	}
	if n := binds() - before; n != 1 {
		t.Errorf("the old password was tried %d times", n)
	}
	if err := c.Bind("cn=admin", "secret-3"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Search(lookupSearch()); err != nil {
		t.Error(err)
	}
}
