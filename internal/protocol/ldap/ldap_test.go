package ldap

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// What each operation brings through the agent is what the directory says.
func TestOperationsAreServed(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	c := start(t, testConfig(t, d), Options{}).dial(t)
	got, err := c.Search(whole())
	if err != nil || len(got.Entries) != 6 {
		t.Fatalf("%v, %v", got, err)
	}
	if got, err = c.Search(one()); err != nil || len(got.Entries) != 1 || got.Entries[0].GetAttributeValue("cn") != "a" {
		t.Fatalf("%v, %v", got, err)
	}
	if same, err := c.Compare("cn=a,dc=ward", "cn", "a"); err != nil || !same {
		t.Errorf("compare: %v, %v", same, err)
	}
	if err := c.Modify(modify("x")); err != nil {
		t.Errorf("modify: %v", err)
	}
	add := client.NewAddRequest("cn=new,dc=ward", nil)
	add.Attribute("cn", []string{"new"})
	if err := c.Add(add); err != nil {
		t.Errorf("add: %v", err)
	}
	if err := c.Add(add); code(err) != client.LDAPResultEntryAlreadyExists {
		t.Errorf("add of what is there: %v", err)
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

// Many operations at once on one connection, answered in any order, and each by its own answer.
func TestResponsesReachTheirOwnClient(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	for _, d := range []*directory.Directory{one, two} {
		d.Script(func(o directory.Op) directory.Fault {
			return directory.Fault{Wait: time.Duration(o.N%7) * time.Millisecond}
		})
	}
	a := start(t, testConfig(t, one, two), Options{})
	until := time.Now().Add(testkit.Patience)
	var all sync.WaitGroup
	for range 4 {
		c := a.dial(t)
		for n := range 16 {
			all.Go(func() {
				name := string(rune('a' + n%5))
				for range 10 {
					got, err := c.Search(search("cn="+name+",dc=ward", client.ScopeBaseObject))
					for client.IsErrorWithCode(err, client.LDAPResultBusy) && time.Now().Before(until) { // a busy machine's: nothing was done
						got, err = c.Search(search("cn="+name+",dc=ward", client.ScopeBaseObject))
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

// A server connection serves only the identity that is bound on it, and a bind is made again on each
// server by the agent. Credentials are in no log.
func TestOperationsRunAsTheirClient(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	var mu sync.Mutex
	seen := map[string]map[string]bool{} // by DN asked for, who asked
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
	a := start(t, testConfig(t, one, two), Options{})
	admin, other, anybody := a.dial(t), a.dial(t), a.dial(t)
	if err := admin.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	if err := other.Bind("cn=other", "secret-2"); err != nil {
		t.Fatal(err)
	}
	if err := anybody.Bind("cn=admin", "secret-wrong"); code(err) != client.LDAPResultInvalidCredentials {
		t.Fatalf("a wrong password: %v", err)
	}
	var all sync.WaitGroup
	for name, c := range map[string]*client.Conn{"a": admin, "b": other, "c": anybody} {
		for range 4 {
			all.Go(func() {
				for range 20 {
					if _, err := c.Search(search("cn="+name+",dc=ward", client.ScopeBaseObject)); err != nil {
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
		t.Error("one of the two got nothing")
	}
	if who, err := admin.WhoAmI(nil); err != nil || who.AuthzID != "dn:cn=admin" {
		t.Errorf("%+v, %v", who, err)
	}
	// After a failed bind a client is anybody (RFC 4511, 4.2.1).
	if err := admin.Bind("cn=admin", "secret-wrong"); code(err) != client.LDAPResultInvalidCredentials {
		t.Errorf("%v", err)
	}
	if who, err := admin.WhoAmI(nil); err != nil || who.AuthzID != "" {
		t.Errorf("%+v, %v", who, err)
	}
	if text := a.log.String(); strings.Contains(text, "secret") {
		t.Errorf("a password is in the log: %s", text)
	}
}

// A password is wiped from memory with the connection that brought it.
func TestPasswordsAreWiped(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	a := start(t, testConfig(t, d), Options{})
	c := a.dial(t)
	if err := c.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	a.p.mu.Lock()
	var who *identity
	for s := range a.p.sessions {
		s.mu.Lock()
		who = s.identity
		s.mu.Unlock()
	}
	a.p.mu.Unlock()
	if who == nil || string(who.password) != "secret-1" {
		t.Fatalf("%+v", who)
	}
	c.Close()
	testkit.WaitFor(t, "the password to be wiped", func() bool { return who.refs.Load() == 0 && who.password[0] == 0 })
	if strings.Trim(string(who.password), "\x00") != "" {
		t.Errorf("%q is left", who.password)
	}
}

// An operation whose server connection is not there any more binds a new one by the client's identity.
func TestBindIsRepeatedOnNewServerConnection(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	a := start(t, testConfig(t, d), Options{})
	c := a.dial(t)
	if err := c.Bind("cn=admin", "secret-1"); err != nil {
		t.Fatal(err)
	}
	d.Kill()
	testkit.WaitFor(t, "the connections to end", func() bool { return d.Conns() == 0 })
	if who, err := c.WhoAmI(nil); err != nil || who.AuthzID != "dn:cn=admin" {
		t.Errorf("%+v, %v", who, err)
	}
	if d.Binds() != 2 {
		t.Errorf("%d binds", d.Binds())
	}
}

// Each way in which an attempt can end, for a safe and for an unsafe operation: what may have run is
// sent again only where that does no harm, and what is refused has not run.
func TestOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		fault        directory.Fault
		search       int // result code of a base lookup, of two servers one of which has the fault at first
		modify       int // of a modify
		modifiesRan  int
		modifyServer int // operations that reached servers
	}{
		"served":              {directory.Fault{}, 0, 0, 1, 1},
		"killed before":       {directory.Fault{KillBefore: true}, 0, ldapmsg.Other, 0, 1},
		"killed after it ran": {directory.Fault{KillAfter: true}, 0, ldapmsg.Other, 1, 1},
		"busy":                {directory.Fault{Code: ldapmsg.Busy}, 0, 0, 1, 2},
		"unavailable":         {directory.Fault{Code: ldapmsg.Unavailable}, 0, ldapmsg.Other, 0, 1},
		"referral":            {directory.Fault{Code: 10}, 10, 10, 0, 1},
		"no such object":      {directory.Fault{Code: 32}, 32, 32, 0, 1},
		"wrong id":            {directory.Fault{WrongID: true}, 0, ldapmsg.Other, 1, 1},
		"wrong tag":           {directory.Fault{WrongTag: true}, 0, ldapmsg.Other, 1, 1},
		"garbage":             {directory.Fault{Garbage: true}, 0, ldapmsg.Other, 1, 1},
		"notice":              {directory.Fault{Notice: true}, 0, ldapmsg.Other, 1, 1},
		"twice":               {directory.Fault{Double: true}, 0, 0, 1, 1},
		"slow drip":           {directory.Fault{Drip: 100 * time.Microsecond}, 0, 0, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
			var faults, came atomic.Int32
			script := func(o directory.Op) directory.Fault {
				if o.Kind != "modify" && o.Kind != "lookup" {
					return directory.Fault{}
				}
				came.Add(1)
				if faults.Add(-1) >= 0 {
					return row.fault
				}
				return directory.Fault{}
			}
			one.Script(script)
			two.Script(script)
			a := start(t, testConfig(t, one, two), Options{})
			c := a.dial(t)
			faults.Store(1)
			if _, err := c.Search(one2()); code(err) != row.search {
				t.Errorf("search: %v", err)
			}
			faults.Store(1)
			came.Store(0)
			if err := c.Modify(modify("v")); code(err) != row.modify {
				t.Errorf("modify: %v", err)
			}
			ran := one.Ran()["modify cn=a,dc=ward v"] + two.Ran()["modify cn=a,dc=ward v"]
			if ran != row.modifiesRan || int(came.Load()) != row.modifyServer {
				t.Errorf("modified %d times, %d operations reached a server", ran, came.Load())
			}
			faults.Store(0)
			if _, err := c.Search(one2()); err != nil { // it goes on
				t.Errorf("afterwards: %v", err)
			}
		})
	}
}

var one2 = one // a name that no local hides

// Once an entry has gone to the client there is no other attempt, and the search fails.
func TestStartedStreamIsNotRetried(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	var faults, came atomic.Int32
	script := func(o directory.Op) directory.Fault {
		came.Add(1)
		if faults.Add(-1) >= 0 {
			return directory.Fault{KillBetween: 3}
		}
		return directory.Fault{}
	}
	one.Script(script)
	two.Script(script)
	a := start(t, testConfig(t, one, two), Options{})
	c := a.dial(t)
	faults.Store(1)
	got, err := c.Search(whole())
	if code(err) != ldapmsg.Other || came.Load() != 1 {
		t.Errorf("%v, %v; %d attempts", got, err, came.Load())
	}
	if got != nil && len(got.Entries) != 3 {
		t.Errorf("%d entries", len(got.Entries))
	}
	if got, err := c.Search(whole()); err != nil || len(got.Entries) != 6 {
		t.Errorf("%v, %v", got, err)
	}
}

// What no server takes is refused at once: busy, and when to come back.
func TestRejectedOperationGetsBusy(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Code: ldapmsg.Busy} })
	c := start(t, testConfig(t, d), Options{}).dial(t)
	err := c.Modify(modify("x"))
	if code(err) != ldapmsg.Busy || !strings.Contains(err.Error(), "nothing was done") {
		t.Errorf("%v", err)
	}
	if len(d.Ran()) != 0 {
		t.Errorf("%v", d.Ran())
	}
}

// A search's own time limit is its client's deadline.
func TestSearchTimeLimitBoundsDeadline(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	hold := make(chan struct{})
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Stall: hold} })
	c := start(t, testConfig(t, d), Options{}).dial(t)
	s := whole()
	s.TimeLimit = 1
	if _, err := c.Search(s); code(err) != ldapmsg.TimeLimitExceeded {
		t.Errorf("%v", err)
	}
}

// An abandoned operation has no answer, is abandoned at its server, and counts as running until its end.
func TestAbandonedOperationGetsNoResponse(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	hold, came := make(chan struct{}), make(chan struct{}, 10)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			came <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	defer close(hold)
	a := start(t, testConfig(t, d), Options{})
	c := a.raw(t)
	send := func(b []byte) {
		t.Helper()
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	send(rawSearch(7, 2))
	testkit.Receive(t, "the search", came)
	send(ldapmsg.Abandon(8, 7))
	testkit.WaitFor(t, "the abandon at the server", func() bool { return d.Abandoned() == 1 })
	testkit.WaitFor(t, "the operation to be gone", func() bool { return a.Totals().ClientDisconnects == 1 })
	send(rawSearch(9, 0)) // a lookup, which is answered; nothing else comes
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
	send(ldapmsg.Abandon(10, 99)) // of nothing: no effect
	send(rawSearch(7, 0))         // the id is free again
	if raw, err := in.Next(); err != nil {
		t.Error(err)
	} else if m, _ := ldapmsg.Parse(raw); m.ID != 7 {
		t.Errorf("%+v", m)
	}
}

// rawSearch is a search of an id: scope 0 asks for one entry, 2 for all.
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

// A Cancel (RFC 3909) of what is on a server is that server's: both answers are its.
func TestCancelIsAnswered(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	hold, came := make(chan struct{}), make(chan struct{}, 1)
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			came <- struct{}{}
			return directory.Fault{Stall: hold}
		}
		return directory.Fault{}
	})
	a := start(t, testConfig(t, d), Options{})
	c := a.raw(t)
	if _, err := c.Write(rawSearch(5, 2)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", came)
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

// A paged search's next page is asked of the connection that gave the cookie, among many.
func TestPagedSearchStaysOnItsConnection(t *testing.T) {
	var all []*directory.Directory
	for _, id := range []string{"one", "two", "three"} {
		all = append(all, dir(t, id, directory.Options{}))
	}
	a := start(t, testConfig(t, all...), Options{})
	var asking sync.WaitGroup
	for range 4 {
		c := a.dial(t)
		asking.Go(func() {
			for range 5 {
				got, err := c.SearchWithPaging(whole(), 2)
				if err != nil || len(got.Entries) != 6 {
					t.Errorf("%v, %v", got, err)
				}
			}
		})
	}
	asking.Wait()
	// The connection's end ends the search: it can't be gone on with elsewhere.
	c := a.dial(t)
	s := whole()
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
	if _, err := c.Search(s); code(err) != ldapmsg.UnwillingToPerform {
		t.Errorf("%v", err)
	}
}

// twoStep is a SASL exchange's step.
func twoStep(id int32) []byte {
	mech := "TWO-STEP"
	sasl := append([]byte{0x04, byte(len(mech))}, mech...)
	body := append([]byte{0x02, 1, 3, 0x04, 0, 0xa3, byte(len(sasl))}, sasl...)
	return ldapmsg.WithID(id, append([]byte{ldapmsg.BindRequest, byte(len(body))}, body...))
}

// A SASL bind of several steps keeps its server connection, for its steps and for what follows; when
// that ends, the client is told.
func TestSASLBindKeepsItsServerConnection(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	a := start(t, testConfig(t, one, two), Options{})
	c := a.raw(t)
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
	if m := ask(twoStep(1)); func() int { n, _ := m.Code(); return n }() != ldapmsg.SASLBindInProgress {
		t.Fatalf("%+v", m)
	}
	if m := ask(twoStep(2)); func() int { n, _ := m.Code(); return n }() != ldapmsg.Success {
		t.Fatalf("%+v", m)
	}
	for i := range int32(20) {
		if m := ask(ldapmsg.Extended(3+i, ldapmsg.OIDWhoAmI, nil)); !strings.Contains(string(m.Content), "dn:sasl") {
			t.Fatalf("%q", m.Content)
		}
	}
	if one.Served("extended") != 0 && two.Served("extended") != 0 {
		t.Error("both servers were asked")
	}
	one.Kill()
	two.Kill()
	testkit.WaitFor(t, "the connections to end", func() bool { return one.Conns()+two.Conns() == 0 })
	testkit.WaitFor(t, "the end to be seen", func() bool { a.p.pool.mu.Lock(); defer a.p.pool.mu.Unlock(); return a.p.pool.open == 0 })
	if m := ask(ldapmsg.Extended(50, ldapmsg.OIDWhoAmI, nil)); m.ID != 0 || m.Op != ldapmsg.ExtResponse {
		t.Errorf("no notice: %+v", m)
	}
	if _, err := in.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
	// EXTERNAL would be this agent's own.
	c2 := a.raw(t)
	mech := append([]byte{0x04, 8}, "EXTERNAL"...)
	body := append([]byte{0x02, 1, 3, 0x04, 0, 0xa3, byte(len(mech))}, mech...)
	if _, err := c2.Write(ldapmsg.WithID(1, append([]byte{ldapmsg.BindRequest, byte(len(body))}, body...))); err != nil {
		t.Fatal(err)
	}
	raw, err := ldapmsg.NewReader(c2, 1<<20).Next()
	if err != nil {
		t.Fatal(err)
	}
	m, _ := ldapmsg.Parse(raw)
	if n, _ := m.Code(); n != ldapmsg.AuthMethodNotSupported {
		t.Errorf("%d", n)
	}
}

// Bad input ends its connection with a notice within a few seconds, in bounded memory, and harms nobody
// else.
func TestMalformedMessageEndsConnection(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	a := start(t, testConfig(t, d), Options{})
	good := a.dial(t)
	if _, err := good.Search(one()); err != nil {
		t.Fatal(err)
	}
	bomb := []byte{0xa0, 0} // an AND in an AND ...
	for range 200 {
		bomb = append([]byte{0xa0, 0x82, byte(len(bomb) >> 8), byte(len(bomb))}, bomb...)
	}
	body := append([]byte{0x04, 0, 0x0a, 1, 0, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0}, bomb...)
	nested := ldapmsg.WithID(3, append([]byte{ldapmsg.SearchRequest, 0x82, byte(len(body) >> 8), byte(len(body))}, body...))
	stall := make(chan struct{})
	defer close(stall)
	for name, text := range map[string][]byte{
		"60 MB":             {0x30, 0x84, 0x03, 0x93, 0x87, 0x00, 0x02, 1, 1},
		"indefinite length": {0x30, 0x80, 0x02, 1, 1, 0x42, 0, 0, 0},
		"length of 5":       {0x30, 0x85, 0, 0, 0, 0, 5, 0x02, 1, 1, 0x42, 0},
		"wrong tag":         []byte("GET / HTTP/1.1\r\n\r\n"),
		"wrong operation":   ldapmsg.Response(1, ldapmsg.SearchDone, 0, ""),
		"no operation":      {0x30, 3, 0x02, 1, 1},
		"id 0":              rawSearch(0, 0),
		"negative id":       {0x30, 5, 0x02, 1, 0xff, 0x42, 0},
		"nesting":           nested,
		"past its end":      {0x30, 5, 0x02, 1, 1, 0x63, 9},
		"slow sender":       {0x30, 20, 0x02},
		"silence":           {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := a.raw(t)
			began := time.Now()
			if _, err := c.Write(text); err != nil {
				t.Fatal(err)
			}
			raw, err := ldapmsg.NewReader(c, 1<<20).Next()
			if err != nil {
				t.Fatalf("no notice: %v", err)
			}
			m, err := ldapmsg.Parse(raw)
			if err != nil || m.ID != 0 || m.Op != ldapmsg.ExtResponse || !strings.Contains(string(m.Content), ldapmsg.OIDDisconnection) {
				t.Errorf("%+v, %v", m, err)
			}
			if took := time.Since(began); took > testkit.Patience/2 {
				t.Errorf("after %v", took)
			}
		})
	}
	// An id in use.
	d.Script(func(o directory.Op) directory.Fault {
		if o.Kind == "search" {
			return directory.Fault{Wait: 50 * time.Millisecond}
		}
		return directory.Fault{}
	})
	c := a.raw(t)
	if _, err := c.Write(append(rawSearch(4, 2), rawSearch(4, 2)...)); err != nil {
		t.Fatal(err)
	}
	in := ldapmsg.NewReader(c, 1<<20)
	dones, notices := 0, 0
	for {
		raw, err := in.Next()
		if err != nil {
			break
		}
		switch m, _ := ldapmsg.Parse(raw); m.Op {
		case ldapmsg.SearchDone:
			dones++
		case ldapmsg.ExtResponse:
			notices++
		}
	}
	if dones != 1 || notices != 1 { // what was taken is answered, then comes the notice
		t.Errorf("%d answers, %d notices", dones, notices)
	}
	// Garbage behind an Unbind is of no effect.
	c = a.raw(t)
	if _, err := c.Write(append(ldapmsg.Unbind(1), "garbage"...)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an answer to garbage")
	}
	if _, err := good.Search(one()); err != nil {
		t.Errorf("others are harmed: %v", err)
	}
}

// Thousands of silent connections make room for one that asks.
func TestQuietConnectionsAreEvicted(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	cfg := testConfig(t, d)
	cfg.Sockets = 64
	a := start(t, cfg, Options{})
	for range 60 {
		c, err := net.Dial("tcp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if _, err := a.dial(t).Search(one()); err != nil {
		t.Error(err)
	}
}

// A stop answers what was taken, then says goodbye, and takes nothing more.
func TestDrainCompletesAdmittedOperations(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	hold, came := make(chan struct{}), make(chan struct{}, 1)
	d.Script(func(o directory.Op) directory.Fault {
		came <- struct{}{}
		return directory.Fault{Stall: hold}
	})
	a := start(t, testConfig(t, d), Options{})
	a.p.freshPeriod = 2 * testkit.Patience
	busy, quiet, fresh := a.raw(t), a.raw(t), a.raw(t) // the last is accepted, and yet to ask
	nothing := ldapmsg.Extended(1, ldapmsg.OIDCancel, []byte{0x30, 3, 2, 1, 9})
	ask := func(c net.Conn) {
		t.Helper()
		if _, err := c.Write(nothing); err != nil {
			t.Fatal(err)
		}
		raw, err := ldapmsg.NewReader(c, 1<<20).Next()
		if err != nil {
			t.Fatal(err)
		}
		if m, _ := ldapmsg.Parse(raw); m.ID != 1 {
			t.Errorf("%+v", m)
		}
	}
	ask(quiet)
	if _, err := busy.Write(rawSearch(1, 0)); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the search", came)
	testkit.WaitFor(t, "all connections", func() bool { a.p.mu.Lock(); defer a.p.mu.Unlock(); return len(a.p.sessions) == 3 })
	a.stop()
	testkit.WaitFor(t, "the stop", func() bool { a.p.mu.Lock(); defer a.p.mu.Unlock(); return a.p.draining })
	ask(fresh) // what a connection asks first, just after the copy began to end, is answered
	fresh.Close()
	read := func(c net.Conn) (ops []byte) {
		in := ldapmsg.NewReader(c, 1<<20)
		for {
			raw, err := in.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Errorf("not an orderly end: %v", err)
				}
				return ops
			}
			m, _ := ldapmsg.Parse(raw)
			ops = append(ops, m.Op)
		}
	}
	if got := read(quiet); string(got) != string([]byte{ldapmsg.ExtResponse}) {
		t.Errorf("a quiet connection got %x", got)
	}
	close(hold)
	if got := read(busy); string(got) != string([]byte{ldapmsg.SearchEntry, ldapmsg.SearchDone, ldapmsg.ExtResponse}) {
		t.Errorf("a busy connection got %x", got)
	}
	if err := testkit.Receive(t, "end", a.done); err != nil {
		t.Error(err)
	}
}

// A panic in the loop: what was taken is answered failed.
func TestPanicAnswersAdmittedOperations(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	hold, came := make(chan struct{}), make(chan struct{}, 1)
	defer close(hold)
	d.Script(func(o directory.Op) directory.Fault {
		came <- struct{}{}
		return directory.Fault{Stall: hold}
	})
	cfg := testConfig(t, d)
	a, _, err := newAgent(cfg, Options{}, testkit.Quiet, core.Parts{NoLateConnections: true})
	if err != nil {
		t.Fatal(err)
	}
	var blow atomic.Bool
	a.SetStepHook(func(core.Totals) {
		if blow.Load() {
			panic("brought about")
		}
	})
	ended := make(chan error, 1)
	go func() { ended <- a.Run(t.Context()) }()
	c, err := client.DialURL("ldap://" + a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answered := make(chan error, 2)
	go func() { answered <- c.Modify(modify("x")) }()
	testkit.Receive(t, "the modify", came)
	blow.Store(true)
	go func() { answered <- c.Modify(modify("y")) }()
	for range 2 {
		if err := testkit.Receive(t, "answer", answered); code(err) != ldapmsg.Other {
			t.Errorf("%v", err)
		}
	}
	if err := testkit.Receive(t, "end", ended); !errors.Is(err, core.ErrPanic) {
		t.Errorf("%v", err)
	}
}

// A client that reads slowly holds up its own search, and nobody else's.
func TestSlowClientDoesNotBlockOthers(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	long := strings.Repeat("x", 8<<10)
	for n := range 2000 {
		d.Add(fmt.Sprintf("cn=%d,ou=big", n), map[string][]string{"v": {long}})
	}
	a := start(t, testConfig(t, d), Options{})
	slow := a.raw(t)
	body := append([]byte{0x04, 6}, "ou=big"...)
	body = append(body, 0x0a, 1, 2, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0, 0x87, 2, 'c', 'n', 0x30, 0)
	if _, err := slow.Write(ldapmsg.WithID(1, append([]byte{ldapmsg.SearchRequest, byte(len(body))}, body...))); err != nil {
		t.Fatal(err)
	}
	c := a.dial(t)
	for range 50 {
		if _, err := c.Search(one()); err != nil {
			t.Fatal(err)
		}
	}
	in, n := ldapmsg.NewReader(slow, 1<<20), 0
	for {
		raw, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m, _ := ldapmsg.Parse(raw); m.Op == ldapmsg.SearchDone {
			break
		}
		n++
	}
	if n != 2000 {
		t.Errorf("%d entries", n)
	}
}

// Nothing new goes to a server once the list calls it draining or gone.
func TestDrainingServerGetsNothingNew(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	list := testkit.NewCatalog(t)
	cfg := testConfig(t, one, two)
	cfg.Discovery, cfg.Settings.Subscribe = list.Addr, false
	a := start(t, cfg, Options{})
	w := testkit.Receive(t, "watch", list.Watch)
	c := a.dial(t)
	for range 20 {
		if _, err := c.Search(one2()); err != nil {
			t.Fatal(err)
		}
	}
	w.Lines <- testkit.ToLine(t, 42, one.Member("draining"))
	testkit.WaitFor(t, "the change", func() bool {
		before := one.Served("lookup")
		for range 20 {
			if _, err := c.Search(one2()); err != nil {
				t.Fatal(err)
			}
		}
		return one.Served("lookup") == before
	})
	before := one.Served("lookup")
	for range 50 {
		if _, err := c.Search(one2()); err != nil {
			t.Fatal(err)
		}
	}
	if one.Served("lookup") != before {
		t.Error("a draining server was asked")
	}
}

// A password that is changed while its owner is bound: the old one is tried once more at the most, and
// not over and over until it is locked out.
func TestRejectedRebindAsksClientToBindAgain(t *testing.T) {
	one, two := dir(t, "one", directory.Options{}), dir(t, "two", directory.Options{})
	a := start(t, testConfig(t, one, two), Options{})
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
		if _, err := c.Search(one2()); code(err) != ldapmsg.StrongerAuthRequired {
			t.Errorf("%v", err)
		}
	}
	if n := binds() - before; n != 1 {
		t.Errorf("the old password was tried %d times", n)
	}
	if err := c.Bind("cn=admin", "secret-3"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Search(one2()); err != nil {
		t.Error(err)
	}
}

// An address that a new server has taken over is no longer the old one's, even before its end is told; and a
// probe leaves no connection behind.
func TestReusedAddressGetsNothingOfOldServer(t *testing.T) {
	d := dir(t, "one", directory.Options{})
	a := start(t, testConfig(t, d), Options{})
	if _, err := a.dial(t).Search(one()); err != nil {
		t.Fatal(err)
	}
	v := a.p.pool
	v.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "next"}}}, Addrs: map[string]string{"next": d.Addr()}})
	if c, _, err := v.acquire("one", "", false); !errors.Is(err, core.ErrMoved) {
		t.Errorf("the old one has %+v, %v", c, err)
	}
	open := func() int { v.mu.Lock(); defer v.mu.Unlock(); return v.open }
	testkit.WaitFor(t, "its connections to close", func() bool { return open() == 0 })
	if p := a.p.Probe("next"); p.Result != decide.OK || open() != 0 {
		t.Errorf("%+v, %d connections open", p, open())
	}
}

// References, intermediate responses, controls and extended operations that are not known go through
// unchanged, byte for byte, under the client's id.
func TestMessagesPassUnchanged(t *testing.T) {
	control := append([]byte{0xa0, 9, 0x30, 7, 0x04, 5}, "1.2.3"...)
	ahead := [][]byte{
		append([]byte{ldapmsg.SearchReference, 9, 0x04, 7}, "ldap://"...),
		append([]byte{ldapmsg.Intermediate, 7, 0x80, 5}, "1.2.9"...),
		append(append([]byte{ldapmsg.SearchEntry, 5, 0x04, 1, 'x', 0x30, 0}, control...), 0xa7, 0), // and a component of a later day
	}
	d := dir(t, "one", directory.Options{})
	d.Script(func(o directory.Op) directory.Fault { return directory.Fault{Ahead: ahead, Code: 10} })
	a := start(t, testConfig(t, d), Options{})
	for _, scope := range []byte{0, 2} { // kept until the end, and streamed
		c := a.raw(t)
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
	c := a.raw(t)
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
