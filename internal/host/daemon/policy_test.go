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

// An agent that is being replaced because of another policy answers what it has admitted and admits no more requests.
// Leases that the daemon gets later apply only to agents that serve by the new policy.
func TestReplacedAgentIsNotAdmittedByNextLease(t *testing.T) {
	s, received, release := newHoldingServer()
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
	<-received
	var old, now *core.Agent
	r.call(func() {
		old = r.instances["a"].agent
		body := "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n"
		cfg, err := r.cfg.WithPolicy([]policy.Document{{Number: 1, Body: []byte(body)}}, nil)
		if err == nil {
			err = r.switchTo(cfg)
		}
		if err != nil {
			t.Error(err)
		}
		now = r.instances["a"].agent
	})
	if old == now {
		t.Fatal("the agent was not replaced")
	}
	for _, until := range []time.Duration{policy.Never, time.Hour} { // as with cut_off = "vetoes" and "stops"
		r.servingChanged(policy.Serving{Document: &policy.Document{Number: 1}, Until: until, ServedParts: []string{"main"}}, time.Now())
		eventually(t, "the replaced agent admits no requests", func() bool { return !old.Admits() })
		if !now.Admits() {
			t.Error("the new agent admits no requests")
		}
	}
	release()
	if got := <-out; got != "200done<nil>" {
		t.Error(got)
	}
}

// A member that was isolated for longer than its lease receives another policy. Its agents serve by the earlier policy
// until they are replaced, and the lease of the new policy does not let them admit requests. The same holds for agents
// that a handover or a change of the configuration replaces.
func TestLeaseOfAnotherPolicyDoesNotExtendAdmission(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	var agent *core.Agent
	r.call(func() { agent = r.instances["a"].agent })
	serveBy := func(number uint64, until time.Duration) {
		r.servingChanged(policy.Serving{Document: &policy.Document{Number: number}, Until: until, ServedParts: []string{"main"}}, time.Now())
	}
	r.call(func() {
		r.policy.fingerprint = (&policy.Serving{Document: &policy.Document{Number: 1}}).Fingerprint()
		r.markCurrent(r.instances["a"])
	})
	serveBy(1, time.Hour)
	if !agent.Admits() {
		t.Fatal("within its lease the agent admits no requests")
	}
	serveBy(2, time.Hour)
	if !agent.Admits() {
		t.Error("within the lease of its own policy the agent admits no requests")
	}
	serveBy(1, -time.Millisecond)
	for _, until := range []time.Duration{time.Hour, policy.Never} {
		if serveBy(2, until); agent.Admits() {
			t.Errorf("the agent's lease has expired, and it admits requests by the lease of another policy (%v)", until)
		}
	}
	agent.ShortenAdmission(time.Now().Add(time.Hour), reasonPolicySwitched)
	if agent.Admits() {
		t.Error("shortening the admission of an agent made it admit requests again")
	}
	if serveBy(1, policy.Never); !agent.Admits() {
		t.Error("under its own policy the agent admits no requests")
	}
}

// policyText returns the tables [peers] and [policy] of a daemon's file, for member a and these voters.
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
	eventually(t, "the policy is in force", func() (in bool) {
		d.call(func() { in = d.policy.applied.number == number })
		return in
	})
}

// A server that a policy bans gets no requests from an instance that was too busy to take the ban at first. Without
// the ban it gets requests again.
func TestPolicyBanReachesABusyInstance(t *testing.T) {
	s1, s2 := standin.NewFormServer("s-1", nil), standin.NewFormServer("s-2", nil)
	defer s1.Close()
	defer s2.Close()
	tb := newTestbed(t, s1.Member("ready"), s2.Member("ready"))
	tb.head = `state_dir = "state"`
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + policyText(addr, addr, `"a"`))
	var busy atomic.Bool
	unblock, blocked := make(chan struct{}), make(chan struct{})
	release, reportBlocked := sync.OnceFunc(func() { close(unblock) }), sync.OnceFunc(func() { close(blocked) })
	defer release()
	r := tb.start(Options{Fault: func(string) func(core.Totals) {
		return func(core.Totals) {
			if busy.Load() {
				reportBlocked()
				<-unblock
			}
		}
	}})
	eventually(t, "the policy in force is known", r.policyAdmits)
	tb.expectServed("one")
	bothServe := func() (all bool) {
		was1, was2 := s1.Requests(), s2.Requests()
		for range 30 {
			tb.expectServed("one")
		}
		return s1.Requests() > was1 && s2.Requests() > was2
	}
	eventually(t, "both servers get requests", bothServe)
	var agent *core.Agent
	r.call(func() { agent = r.instances["one"].agent })
	busy.Store(true)
	for agent.TryForceServerDisabled("nobody", false) { // until the agent's queue of commands is full
	}
	<-blocked
	for agent.TryForceServerDisabled("nobody", false) {
	}
	r.apply(t, 1, "[[ban]]\nserver = \"s-2\"\nreason = \"a test\"\n")
	busy.Store(false)
	release()
	eventually(t, "the banned server gets no requests", func() bool {
		was := s2.Requests()
		for range 30 {
			tb.expectServed("one")
		}
		return s2.Requests() == was
	})
	r.apply(t, 2, "ban = []\n")
	eventually(t, "both servers get requests again", bothServe)
}

// A peering that fails while no other voter answers leaves the policy as it was: requests are admitted before the
// failure, while the peering is down, and after it is started again.
func TestPolicySurvivesATransportFailure(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	addrs := map[string]string{"a": freeAddr(t), "b": freeAddr(t), "c": freeAddr(t)}
	var fault atomic.Bool
	testbeds, daemons := map[string]*testbed{}, map[string]*testDaemon{}
	for name, addr := range addrs {
		seed := addrs["b"]
		if name == "b" {
			seed = addrs["a"]
		}
		testbeds[name] = newTestbed(t, f.Member("ready"))
		testbeds[name].head = `state_dir = "state"`
		testbeds[name].writeConfig(testbeds[name].instanceText("one") + strings.Replace(policyText(addr, seed, `"a", "b", "c"`), `name = "a"`, fmt.Sprintf("name = %q", name), 1))
		o := Options{}
		if name == "a" {
			o.PeerFault = func() {
				if fault.CompareAndSwap(true, false) {
					panic("injected")
				}
			}
		}
		r, err := testbeds[name].tryStart(o) // a daemon becomes ready only after it reaches other voters
		if err != nil {
			t.Fatal(err)
		}
		daemons[name] = r
	}
	r := daemons["a"]
	eventually(t, "the daemon is ready", func() bool {
		select {
		case <-r.ready:
			return true
		default:
			return false
		}
	})
	r.apply(t, 1, "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n")
	testbeds["a"].expectServed("one")
	if v, ok := r.MembershipStatus(); !ok || v.Traffic.PolicyMessages == 0 || v.Traffic.PolicyBytes < 20*v.Traffic.PolicyMessages {
		t.Errorf("messages about the policy are not counted: %+v", v.Traffic)
	}
	for _, other := range []string{"b", "c"} {
		if err := daemons[other].end(); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		before := r.activePeering.Load()
		fault.Store(true)
		eventually(t, "the peering is started again", func() bool {
			testbeds["a"].expectServed("one")
			now := r.activePeering.Load()
			return now != nil && now != before
		})
		for range 200 { // while the new peering restores its state
			testbeds["a"].expectServed("one")
		}
		if p, err := r.PolicyStatus(); err != nil || p.Active.Number != 1 {
			t.Errorf("error %v, policy %+v", err, p)
		}
	}
}

// After a failed handover the policy's file is opened again, even if another process, such as a successor that ends
// slowly, keeps it open for some seconds more. The fault: opening was tried only once, after which a voter could not
// write, and no policy was agreed on until the daemon was started again.
func TestPolicyFileIsOpenedAgainAfterAFailedHandover(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	tb.head = `state_dir = "state"`
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + policyText(addr, addr, `"a"`))
	fail := errors.New("injected failure")
	var taken *bbolt.DB
	r := tb.start(Options{StartSuccessor: func(context.Context, map[daemonconfig.Address]*os.File, []byte) (err error) {
		if taken, err = bbolt.Open(filepath.Join(tb.dir, "state", "policy.db"), 0o600, &bbolt.Options{Timeout: testTimeout}); err != nil {
			return err
		}
		return fail
	}})
	r.apply(t, 1, "[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n")
	if err := r.Handover(context.Background()); !errors.Is(err, fail) {
		t.Fatalf("the handover: %v, want the injected failure", err)
	}
	eventually(t, "the file can't be opened", func() bool { return tb.log.count("can't be opened again") > 0 })
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	r.apply(t, 2, "[rules]\nconnect_timeout = \"8s\"\nidle_close = \"60s\"\n")
	tb.expectServed("one")
}
