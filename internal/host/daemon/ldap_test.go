package daemon

import (
	"fmt"
	"testing"
	"time"

	goldap "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/standin/directory"
)

const operations = `[[class]]
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

func ldapInstance(tb *testbed, more string) string {
	return operations + fmt.Sprintf("[[instance]]\nname = \"dir\"\nprotocol = \"ldap\"\nlisten = \"unix:%s\"\n", tb.socketPath("dir")) + more
}

// An instance that speaks LDAP beside ones that speak HTTP/1.1, and its change under load: what is admitted is
// answered, then the client is notified, and the next connection finds the new agent.
func TestLDAPInstance(t *testing.T) {
	d, err := directory.New("one", directory.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Add("cn=a", map[string][]string{"cn": {"a"}})
	hold, came := make(chan struct{}), make(chan struct{}, 1)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "modify" {
			came <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	tb := newTestbed(t, d.Member("ready"))
	tb.writeConfig(ldapInstance(tb, ""))
	r := tb.start(Options{})
	dial := func() *goldap.Conn {
		t.Helper()
		c, err := goldap.DialURL("ldapi://" + tb.socketPath("dir"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetTimeout(patience)
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
	case <-came:
	case <-time.After(patience):
		t.Fatal("the modify did not arrive")
	}
	tb.writeConfig(ldapInstance(tb, "max_open = 77\n"))
	if got, err := r.Reload(); err != nil || got.Replaced != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	again := dial()
	defer again.Close()
	if err := lookup(again); err != nil {
		t.Errorf("after the change: %v", err)
	}
	close(hold)
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("taken by the old copy: %v", err)
		}
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	eventually(t, "the old connection to end", func() bool { return c.IsClosing() })
}
