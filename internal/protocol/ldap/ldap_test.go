package ldap

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// Each operation through the agent has the result that the directory server gives.
func TestOperationsAreServed(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	c := startAgent(t, testConfig(t, d), Options{}).dial(t)
	got, err := c.Search(subtreeSearch())
	if err != nil || len(got.Entries) != 6 {
		t.Fatalf("%v, %v", got, err)
	}
	if got, err = c.Search(baseSearch()); err != nil || len(got.Entries) != 1 || got.Entries[0].GetAttributeValue("cn") != "a" {
		t.Fatalf("%v, %v", got, err)
	}
	if same, err := c.Compare("cn=a,dc=ward", "cn", "a"); err != nil || !same {
		t.Errorf("compare: %v, %v", same, err)
	}
	if err := c.Modify(newModify("x")); err != nil {
		t.Errorf("modify: %v", err)
	}
	add := client.NewAddRequest("cn=new,dc=ward", nil)
	add.Attribute("cn", []string{"new"})
	if err := c.Add(add); err != nil {
		t.Errorf("add: %v", err)
	}
	if err := c.Add(add); resultCode(err) != client.LDAPResultEntryAlreadyExists {
		t.Errorf("add of an entry that exists: %v", err)
	}
	if err := c.ModifyDN(client.NewModifyDNRequest("cn=new,dc=ward", "cn=newer", true, "")); err != nil {
		t.Errorf("moddn: %v", err)
	}
	if err := c.Del(client.NewDelRequest("cn=new,dc=ward", nil)); err != nil {
		t.Errorf("delete: %v", err)
	}
	if who, err := c.WhoAmI(nil); err != nil || who.AuthzID != "" {
		t.Errorf("who am I: %+v, %v", who, err)
	}
	if _, err := c.PasswordModify(client.NewPasswordModifyRequest("cn=a,dc=ward", "x", "y")); err != nil {
		t.Errorf("password: %v", err)
	}
	want := map[string]int{"modify cn=a,dc=ward x": 1, "add cn=new,dc=ward": 2, "moddn cn=new,dc=ward": 1, "delete cn=new,dc=ward": 1, "password": 1}
	if got := d.Ran(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("ran %v, want %v", got, want)
	}
}

// Many operations are open at once on one connection, and are answered in any order. Each gets its own response.
func TestResponsesReachTheirOwnClient(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	for _, d := range []*directory.Directory{one, two} {
		d.Script(func(o directory.Op) directory.Fault {
			return directory.Fault{Wait: time.Duration(o.N%7) * time.Millisecond}
		})
	}
	a := startAgent(t, testConfig(t, one, two), Options{})
	until := time.Now().Add(testkit.EventTimeout)
	var all sync.WaitGroup
	for range 4 {
		c := a.dial(t)
		for n := range 16 {
			all.Go(func() {
				name := string(rune('a' + n%5))
				for range 10 {
					got, err := c.Search(newSearch("cn="+name+",dc=ward", client.ScopeBaseObject))
					// On a busy machine, the agent may refuse a search, which is then repeated.
					for client.IsErrorWithCode(err, client.LDAPResultBusy) && time.Now().Before(until) {
						got, err = c.Search(newSearch("cn="+name+",dc=ward", client.ScopeBaseObject))
					}
					if err != nil || len(got.Entries) != 1 || got.Entries[0].GetAttributeValue("cn") != name {
						t.Errorf("asked for %s: %v, %v", name, got, err)
						return
					}
				}
			})
		}
	}
	all.Wait()
}

// An operation that every server rejects gets busy (51), with a diagnostic message that states that nothing was done.
func TestRejectedOperationGetsBusy(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Code: ldapmsg.Busy} })
	c := startAgent(t, testConfig(t, d), Options{}).dial(t)
	err := c.Modify(newModify("x"))
	if resultCode(err) != ldapmsg.Busy || !strings.Contains(err.Error(), "nothing was done") {
		t.Errorf("%v", err)
	}
	if len(d.Ran()) != 0 {
		t.Errorf("%v", d.Ran())
	}
}

// The time limit in a search request bounds the deadline of the search.
func TestSearchTimeLimitBoundsDeadline(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	hold := make(chan struct{})
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Stall: hold} })
	c := startAgent(t, testConfig(t, d), Options{}).dial(t)
	s := subtreeSearch()
	s.TimeLimit = 1
	if _, err := c.Search(s); resultCode(err) != ldapmsg.TimeLimitExceeded {
		t.Errorf("%v", err)
	}
}

// A request for a further page of a paged search goes to the server connection that returned the cookie, among many
// others.
func TestPagedSearchStaysOnItsConnection(t *testing.T) {
	var all []*directory.Directory
	for _, id := range []string{"one", "two", "three"} {
		all = append(all, startDirectory(t, id, directory.Options{}))
	}
	a := startAgent(t, testConfig(t, all...), Options{})
	var asking sync.WaitGroup
	for range 4 {
		c := a.dial(t)
		asking.Go(func() {
			for range 5 {
				got, err := c.SearchWithPaging(subtreeSearch(), 2)
				if err != nil || len(got.Entries) != 6 {
					t.Errorf("%v, %v", got, err)
				}
			}
		})
	}
	asking.Wait()
	// The end of the connection ends the paged search, which can't be continued on another connection.
	c := a.dial(t)
	s := subtreeSearch()
	page := client.NewControlPaging(2)
	s.Controls = []client.Control{page}
	got, err := c.Search(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range all {
		d.Kill()
	}
	for _, d := range all {
		testkit.WaitFor(t, "the connections to end", func() bool { return d.Conns() == 0 })
	}
	page.SetCookie(client.FindControl(got.Controls, client.ControlTypePaging).(*client.ControlPaging).Cookie)
	testkit.WaitFor(t, "the end to be seen", func() bool { a.p.pool.mu.Lock(); defer a.p.pool.mu.Unlock(); return a.p.pool.open == 0 })
	if _, err := c.Search(s); resultCode(err) != ldapmsg.UnwillingToPerform {
		t.Errorf("%v", err)
	}
}

// Search result references, intermediate responses, controls and unknown extended operations are forwarded unchanged,
// byte for byte, under the client's message ID.
func TestMessagesPassUnchanged(t *testing.T) {
	control := append([]byte{0xa0, 9, 0x30, 7, 0x04, 5}, "1.2.3"...)
	ahead := [][]byte{
		append([]byte{ldapmsg.SearchReference, 9, 0x04, 7}, "ldap://"...),
		append([]byte{ldapmsg.Intermediate, 7, 0x80, 5}, "1.2.9"...),
		// The component after the controls has an unknown tag.
		append(append([]byte{ldapmsg.SearchEntry, 5, 0x04, 1, 'x', 0x30, 0}, control...), 0xa7, 0),
	}
	d := startDirectory(t, "one", directory.Options{})
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Ahead: ahead, Code: 10} })
	a := startAgent(t, testConfig(t, d), Options{})
	for _, scope := range []byte{0, 2} { // held back until the last message, and streamed
		c := a.dialRaw(t)
		if _, err := c.Write(rawSearch(77, scope)); err != nil {
			t.Fatal(err)
		}
		in := ldapmsg.NewReader(c, 1<<20)
		for _, want := range append(ahead, nil) {
			raw, err := in.Next()
			if err != nil {
				t.Fatal(err)
			}
			m, err := ldapmsg.Parse(raw)
			if err != nil || m.ID != 77 || want != nil && string(m.Rest) != string(want) || want == nil && m.Op != ldapmsg.SearchDone {
				t.Errorf("scope %d: %x, %v; want %x", scope, raw, err, want)
			}
		}
	}
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{} })
	c := a.dialRaw(t)
	if _, err := c.Write(ldapmsg.Extended(5, "1.2.3.4.5", []byte("v"))); err != nil {
		t.Fatal(err)
	}
	raw, err := ldapmsg.NewReader(c, 1<<20).Next()
	if err != nil {
		t.Fatal(err)
	}
	if m, _ := ldapmsg.Parse(raw); m.ID != 5 || m.Op != ldapmsg.ExtResponse || d.Ran()["extended 1.2.3.4.5"] != 1 {
		t.Errorf("%x, ran %v", raw, d.Ran())
	}
}
