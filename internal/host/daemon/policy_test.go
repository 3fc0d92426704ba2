package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/standin"
)

// An agent that is being replaced under another policy finishes what it admitted, and admits nothing more, whatever
// leases its daemon gets later: they are for the agents that serve by the new policy.
func TestReplacedAgentIsNotAdmittedByNextLease(t *testing.T) {
	s, came, release := newHoldingServer()
	defer s.Close()
	defer release()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	out := make(chan string, 1)
	go func() {
		status, body, err := sendRequest(client(tb.socketPath("a"), false), "pay")
		out <- fmt.Sprint(status, body, err)
	}()
	<-came
	var old, now *core.Agent
	r.call(func() {
		old = r.instances["a"].agent
		body := "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n"
		cfg, err := r.cfg.Under([]policy.Document{{Number: 1, Body: []byte(body)}}, nil)
		if err == nil {
			err = r.switchTo(cfg)
		}
		if err != nil {
			t.Error(err)
		}
		now = r.instances["a"].agent
	})
	if old == now {
		t.Fatal("nothing was replaced")
	}
	for _, until := range []time.Duration{policy.Never, time.Hour} { // with vetoes, with stops
		r.servingChanged(policy.Serving{Document: &policy.Document{Number: 1}, Until: until, ServedParts: []string{"main"}}, time.Now())
		eventually(t, "the replaced copy takes nothing", func() bool { return !old.Admits() })
		if !now.Admits() {
			t.Error("the copy in its place takes nothing")
		}
	}
	release()
	if got := <-out; got != "200done<nil>" {
		t.Error(got)
	}
}

// A member that was cut off past its lease hears of another policy: its copies go by the one before until they are
// replaced, and take nothing by the lease that comes with the new one. So do those that a handover or a change leaves
// behind.
func TestLeaseOfAnotherPolicyDoesNotExtendAdmission(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	var a *core.Agent
	r.call(func() { a = r.instances["a"].agent })
	word := func(number uint64, until time.Duration) {
		r.servingChanged(policy.Serving{Document: &policy.Document{Number: number}, Until: until, ServedParts: []string{"main"}}, time.Now())
	}
	r.call(func() {
		r.policy.fingerprint = (&policy.Serving{Document: &policy.Document{Number: 1}}).Fingerprint()
		r.markCurrent(r.instances["a"])
	})
	word(1, time.Hour)
	if !a.Admits() {
		t.Fatal("within its lease it takes nothing")
	}
	word(2, time.Hour)
	if !a.Admits() {
		t.Error("within the lease of its own policy it takes nothing")
	}
	word(1, -time.Millisecond)
	for _, until := range []time.Duration{time.Hour, policy.Never} {
		if word(2, until); a.Admits() {
			t.Errorf("its lease is over, and it takes requests by that of another policy (%v)", until)
		}
	}
	a.ShortenAdmission(time.Now().Add(time.Hour), reasonPolicySwitched)
	if a.Admits() {
		t.Error("it was to take no longer, and takes again")
	}
	if word(1, policy.Never); !a.Admits() {
		t.Error("by its own policy it takes nothing")
	}
}

// policyText is the part of a daemon's file with which it agrees on policies, as a, with these voters.
func policyText(listen, seed string, voters string) string {
	return peersText("a", listen, seed) + fmt.Sprintf("[policy]\nvoters = [%s]\ncut_off = \"vetoes\"\n", voters)
}

// apply proposes a policy and waits until the daemon serves by it.
func (d *testDaemon) apply(t *testing.T, number uint64, body string) {
	t.Helper()
	eventually(t, "the policy in force is known", d.policyAdmits)
	if _, err := d.ProposePolicy(PolicyChange{Body: body, Reason: "a test"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it is in force", func() (in bool) {
		d.call(func() { in = d.policy.applied.number == number })
		return in
	})
}

// A server that a policy keeps out gets nothing from an instance that was too busy to hear of it at first; without
// the ban it is back.
func TestPolicyBanReachesABusyInstance(t *testing.T) {
	s1, s2 := standin.NewForm("s-1", nil), standin.NewForm("s-2", nil)
	defer s1.Close()
	defer s2.Close()
	tb := newTestbed(t, s1.Member("ready"), s2.Member("ready"))
	tb.head = `state_dir = "state"`
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + policyText(addr, addr, `"a"`))
	var busy atomic.Bool
	free, stuck := make(chan struct{}), make(chan struct{})
	release, held := sync.OnceFunc(func() { close(free) }), sync.OnceFunc(func() { close(stuck) })
	defer release()
	r := tb.start(Options{Fault: func(string) func(core.Totals) {
		return func(core.Totals) {
			if busy.Load() {
				held()
				<-free
			}
		}
	}})
	eventually(t, "the policy in force is known", r.policyAdmits)
	tb.expectServed("one")
	both := func() (all bool) {
		was1, was2 := s1.Got(), s2.Got()
		for range 30 {
			tb.expectServed("one")
		}
		return s1.Got() > was1 && s2.Got() > was2
	}
	eventually(t, "both servers get requests", both)
	var a *core.Agent
	r.call(func() { a = r.instances["one"].agent })
	busy.Store(true)
	for a.TryForceServerDisabled("nobody", false) { // until it has no room to hear more
	}
	<-stuck
	for a.TryForceServerDisabled("nobody", false) {
	}
	r.apply(t, 1, "[[ban]]\nserver = \"s-2\"\nreason = \"a test\"\n")
	busy.Store(false)
	release()
	eventually(t, "the server that is out gets nothing", func() bool {
		was := s2.Got()
		for range 30 {
			tb.expectServed("one")
		}
		return s2.Got() == was
	})
	r.apply(t, 2, "ban = []\n")
	eventually(t, "the server is back", both)
}

// A part for peers that fails while no other voter answers leaves the policy as it was: requests are taken on,
// before, between and after its lives.
func TestPolicySurvivesATransportFailure(t *testing.T) {
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	addrs := map[string]string{"a": freeAddr(t), "b": freeAddr(t), "c": freeAddr(t)}
	var fault atomic.Bool
	y, all := map[string]*testbed{}, map[string]*testDaemon{}
	for name, addr := range addrs {
		seed := addrs["b"]
		if name == "b" {
			seed = addrs["a"]
		}
		y[name] = newTestbed(t, f.Member("ready"))
		y[name].head = `state_dir = "state"`
		y[name].writeConfig(y[name].instanceText("one") + strings.Replace(policyText(addr, seed, `"a", "b", "c"`), `name = "a"`, fmt.Sprintf("name = %q", name), 1))
		o := Options{}
		if name == "a" {
			o.PeerFault = func() {
				if fault.CompareAndSwap(true, false) {
					panic("injected")
				}
			}
		}
		r, err := y[name].tryStart(o) // none is ready before it hears of others
		if err != nil {
			t.Fatal(err)
		}
		all[name] = r
	}
	r := all["a"]
	eventually(t, "it is ready", func() bool {
		select {
		case <-r.ready:
			return true
		default:
			return false
		}
	})
	r.apply(t, 1, "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n")
	y["a"].expectServed("one")
	if v, ok := r.MembershipStatus(); !ok || v.Traffic.PolicyMessages == 0 || v.Traffic.PolicyBytes < 20*v.Traffic.PolicyMessages {
		t.Errorf("what it sent about the policy is not counted: %+v", v.Traffic)
	}
	for _, other := range []string{"b", "c"} {
		if err := all[other].end(); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		at := r.activePeering.Load()
		fault.Store(true)
		eventually(t, "another life of the part", func() bool {
			y["a"].expectServed("one")
			now := r.activePeering.Load()
			return now != nil && now != at
		})
		for range 200 { // and while it comes to what it knows
			y["a"].expectServed("one")
		}
		if p, err := r.Policy(); err != nil || p.Active.Number != 1 {
			t.Errorf("%v, %+v", err, p)
		}
	}
}

// After a handover that failed the policy's file is opened again, also where another process has it for some seconds
// more, as a successor that is slow to die. It was tried once: a voter could write nothing from then on, and no
// policy was agreed on until the daemon was started again.
func TestPolicyFileIsOpenedAgainAfterAFailedHandover(t *testing.T) {
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	tb.head = `state_dir = "state"`
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + policyText(addr, addr, `"a"`))
	fail := errors.New("not this time")
	var taken *bbolt.DB
	r := tb.start(Options{Upgrade: func(context.Context, map[daemonconfig.Address]*os.File, []byte) (err error) {
		if taken, err = bbolt.Open(filepath.Join(tb.dir, "state", "policy.db"), 0o600, &bbolt.Options{Timeout: patience}); err != nil {
			return err
		}
		return fail
	}})
	r.apply(t, 1, "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n")
	if err := r.Handover(context.Background()); !errors.Is(err, fail) {
		t.Fatalf("%v", err)
	}
	eventually(t, "the file can't be opened", func() bool { return tb.log.count("can't be opened again") > 0 })
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	r.apply(t, 2, "[rules]\nconnect_timeout = \"8s\"\nidle_close = \"60s\"\n")
	tb.expectServed("one")
}
