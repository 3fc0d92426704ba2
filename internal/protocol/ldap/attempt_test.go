package ldap

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// Checks each outcome of an attempt, for an idempotent and for a non-idempotent operation. An operation that may have
// been executed is retried only if it is idempotent, and a refused operation was not executed.
func TestOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		fault        directory.Fault
		search       int // result code of a lookup whose first attempt meets the fault
		modify       int // result code of a modify whose first attempt meets the fault
		modifiesRan  int // how often the modify was executed
		modifyServer int // how many attempts of the modify reached a server
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
			one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
			var faults, arrived atomic.Int32
			script := func(o directory.Op) directory.Fault {
				if o.Kind != "modify" && o.Kind != "lookup" {
					return directory.Fault{}
				}
				arrived.Add(1)
				if faults.Add(-1) >= 0 {
					return row.fault
				}
				return directory.Fault{}
			}
			one.Script(script)
			two.Script(script)
			a := startAgent(t, testConfig(t, one, two), Options{})
			c := a.dial(t)
			faults.Store(1)
			if _, err := c.Search(lookupSearch()); resultCode(err) != row.search {
				t.Errorf("search: %v", err)
			}
			faults.Store(1)
			arrived.Store(0)
			if err := c.Modify(newModify("v")); resultCode(err) != row.modify {
				t.Errorf("modify: %v", err)
			}
			ran := one.Ran()["modify cn=a,dc=ward v"] + two.Ran()["modify cn=a,dc=ward v"]
			if ran != row.modifiesRan || int(arrived.Load()) != row.modifyServer {
				t.Errorf("modified %d times, %d operations reached a server", ran, arrived.Load())
			}
			faults.Store(0)
			if _, err := c.Search(lookupSearch()); err != nil { // the connection is still usable
				t.Errorf("afterwards: %v", err)
			}
		})
	}
}

var lookupSearch = baseSearch // named after the kind of such searches

// Once an entry was forwarded to the client, a broken search is not retried, and fails.
func TestStartedStreamIsNotRetried(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	var faults, arrived atomic.Int32
	script := func(o directory.Op) directory.Fault {
		arrived.Add(1)
		if faults.Add(-1) >= 0 {
			return directory.Fault{KillBetween: 3}
		}
		return directory.Fault{}
	}
	one.Script(script)
	two.Script(script)
	a := startAgent(t, testConfig(t, one, two), Options{})
	c := a.dial(t)
	faults.Store(1)
	got, err := c.Search(subtreeSearch())
	if resultCode(err) != ldapmsg.Other || arrived.Load() != 1 {
		t.Errorf("%v, %v; %d attempts", got, err, arrived.Load())
	}
	if got != nil && len(got.Entries) != 3 {
		t.Errorf("%d entries", len(got.Entries))
	}
	if got, err := c.Search(subtreeSearch()); err != nil || len(got.Entries) != 6 {
		t.Errorf("%v, %v", got, err)
	}
}

// A server gets no new operations once the endpoint list shows it as draining.
func TestDrainingServerGetsNothingNew(t *testing.T) {
	one, two := startDirectory(t, "one", directory.Options{}), startDirectory(t, "two", directory.Options{})
	list := testkit.NewScriptedList(t)
	cfg := testConfig(t, one, two)
	cfg.Discovery, cfg.Settings.Subscribe = list.Addr, false
	a := startAgent(t, cfg, Options{})
	w := testkit.Receive(t, "watch", list.Watch)
	c := a.dial(t)
	for range 20 {
		if _, err := c.Search(lookupSearch()); err != nil {
			t.Fatal(err)
		}
	}
	w.Lines <- testkit.EncodeWatchLine(t, 42, one.Member("draining"))
	testkit.WaitFor(t, "the change", func() bool {
		before := one.Served("lookup")
		for range 20 {
			if _, err := c.Search(lookupSearch()); err != nil {
				t.Fatal(err)
			}
		}
		return one.Served("lookup") == before
	})
	before := one.Served("lookup")
	for range 50 {
		if _, err := c.Search(lookupSearch()); err != nil {
			t.Fatal(err)
		}
	}
	if one.Served("lookup") != before {
		t.Error("a draining server got an operation")
	}
}

// When a new server has taken over the address of an old one, the old server gets no operations at that address, even
// before the endpoint list shows it as gone. A probe leaves no connection open.
func TestReusedAddressGetsNothingOfOldServer(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{})
	if _, err := a.dial(t).Search(baseSearch()); err != nil {
		t.Fatal(err)
	}
	pool := a.p.pool
	pool.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "next"}}}, Addrs: map[string]string{"next": d.Addr()}})
	if c, _, err := pool.acquire("one", "", false); !errors.Is(err, core.ErrNoAddress) {
		t.Errorf("acquire returned a connection to the old server: %+v, %v", c, err)
	}
	open := func() int { pool.mu.Lock(); defer pool.mu.Unlock(); return pool.open }
	testkit.WaitFor(t, "the old server's connections to close", func() bool { return open() == 0 })
	if p := a.p.Probe("next"); p.Result != decide.OK || open() != 0 {
		t.Errorf("%+v, %d connections open", p, open())
	}
}
