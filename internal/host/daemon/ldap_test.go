package daemon

import (
	"fmt"
	"testing"
	"time"

	goldap "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/standin/directory"
)

const ldapClassTables = `[[class]]
name = "search"
repeats = "safe"
aim = "5s"
deadline = "60s"
worth = 1.0
[[class]]
name = "modify"
aim = "5s"
deadline = "60s"
worth = 1.0
`

func ldapInstanceText(tb *testbed, more string) string {
	return ldapClassTables + fmt.Sprintf("[[instance]]\nname = \"dir\"\nprotocol = \"ldap\"\nlisten = \"unix:%s\"\n", tb.socketPath("dir")) + more
}

// An instance that speaks LDAP instead of HTTP/1.1 is replaced under load: the operation that was admitted is
// answered, then the old connection is closed, and a new connection reaches the new agent.
func TestLDAPInstance(t *testing.T) {
	d, err := directory.New("one", directory.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Add("cn=a", map[string][]string{"cn": {"a"}})
	hold, received := make(chan struct{}), make(chan struct{}, 1)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "modify" {
			received <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	tb := newTestbed(t, d.Member("ready"))
	tb.writeConfig(ldapInstanceText(tb, ""))
	r := tb.start(Options{})
	dial := func() *goldap.Conn {
		t.Helper()
		c, err := goldap.DialURL("ldapi://" + tb.socketPath("dir"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetTimeout(testTimeout)
		return c
	}
	lookup := func(c *goldap.Conn) error {
		got, err := c.Search(goldap.NewSearchRequest("cn=a", goldap.ScopeBaseObject, goldap.NeverDerefAliases, 0, 0, false, "(objectClass=*)", nil, nil))
		if err == nil && len(got.Entries) != 1 {
			return fmt.Errorf("%d entries", len(got.Entries))
		}
		return err
	}
	c := dial()
	defer c.Close()
	if err := lookup(c); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() {
		m := goldap.NewModifyRequest("cn=a", nil)
		m.Replace("d", []string{"x"})
		answered <- c.Modify(m)
	}()
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Fatal("the modify did not arrive")
	}
	tb.writeConfig(ldapInstanceText(tb, "max_open = 77\n"))
	if got, err := r.Reload(); err != nil || got.Replaced != 1 {
		t.Fatalf("reload: %+v, %v", got, err)
	}
	again := dial()
	defer again.Close()
	if err := lookup(again); err != nil {
		t.Errorf("a search at the new agent: %v", err)
	}
	close(hold)
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("the modify that the old agent admitted: %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the modify was not answered")
	}
	eventually(t, "the old connection is closed", func() bool { return c.IsClosing() })
}
