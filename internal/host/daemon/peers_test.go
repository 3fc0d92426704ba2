package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/standin"
)

// freeAddr returns an address on which no process listens, for streams and datagrams.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func peersText(name, listen string, seeds ...string) string {
	return fmt.Sprintf("[peers]\nfleet = \"f\"\nname = %q\nlisten = %q\nseeds = [\"%s\"]\nevery = \"50ms\"\n", name, listen, strings.Join(seeds, `", "`))
}

// A peering that panics or hangs never stops an instance from serving.
func TestPeeringFailuresDoNotStopInstances(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	for name, fault := range map[string]func(steps int64, end chan struct{}){
		"panics": func(n int64, _ chan struct{}) {
			if n%3 == 0 {
				panic("injected")
			}
		},
		"hangs": func(_ int64, end chan struct{}) { <-end },
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, f.Member("ready"))
			tb.writeConfig(tb.instanceText("one") + peersText("a", freeAddr(t), freeAddr(t)))
			var steps atomic.Int64
			end := make(chan struct{})
			r := tb.start(Options{PeerFault: func() { fault(steps.Add(1), end) }})
			eventually(t, "the fault occurs", func() bool { return steps.Load() > 0 })
			tb.expectServed("one")
			if name == "panics" {
				eventually(t, "the peering is started again", func() bool { return steps.Load() > 3 })
				tb.expectServed("one")
			}
			close(end)
			if err := r.end(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestInstancesFollowTheFleetSize(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	addr := freeAddr(t)
	tbA, tbB := newTestbed(t, f.Member("ready")), newTestbed(t, f.Member("ready"))
	tbA.writeConfig(tbA.instanceText("one") + peersText("a", addr, addr))
	tbB.writeConfig(tbB.instanceText("one", "two") + peersText("b", freeAddr(t), addr))
	a, b := tbA.start(Options{}), tbB.start(Options{})
	sees := func(r *testDaemon, most, least int) func() bool {
		return func() bool {
			c := r.size.Load()
			return c != nil && c.MaxBalancers == most && c.MinBalancers == least && !c.FromFile
		}
	}
	eventually(t, "the daemon counts three balancers", sees(a, 3, 3))
	eventually(t, "the daemon counts three balancers", sees(b, 3, 3))
	tbA.expectServed("one")

	// The other daemon is notified of an added instance, and of a member that leaves in an orderly way.
	tbB.writeConfig(tbB.instanceText("one", "two", "three") + b.peersText(t))
	if _, err := b.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon counts four balancers", sees(a, 4, 4))
	if err := b.end(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon counts one balancer", sees(a, 1, 1))
}

func (d *testDaemon) peersText(t *testing.T) string {
	t.Helper()
	return peersText(d.cfg.Peers.Name, d.cfg.Peers.Listen, d.cfg.Peers.Seeds...)
}

func TestReloadStartsAndEndsPeering(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	addr := freeAddr(t)
	tbA, tbB := newTestbed(t, f.Member("ready")), newTestbed(t, f.Member("ready"))
	tbB.writeConfig(tbB.instanceText("one") + peersText("b", addr, addr))
	b := tbB.start(Options{})
	tbA.writeConfig(tbA.instanceText("one"))
	a := tbA.start(Options{})
	if _, ok := a.MembershipStatus(); ok {
		t.Error("a daemon without [peers] has a membership status")
	}
	state := func(of string) func() string {
		return func() string {
			s, _ := b.MembershipStatus()
			for _, m := range s.Members {
				if m.Name == of {
					return m.State
				}
			}
			return ""
		}
	}
	tbA.writeConfig(tbA.instanceText("one") + peersText("a", freeAddr(t), addr))
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a is alive", func() bool { return state("a")() == "alive" })
	before, _ := a.MembershipStatus()
	text := strings.Replace(a.peersText(t), "50ms", "60ms", 1) // the same member with another setting
	tbA.writeConfig(tbA.instanceText("one") + text)
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the same member goes on", func() bool {
		now, ok := a.MembershipStatus()
		return ok && now.RunID == before.RunID && len(now.Members) == 2
	})
	tbA.writeConfig(tbA.instanceText("one"))
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a has left", func() bool { return state("a")() == "left" })
	tbA.expectServed("one")
}

// A second handover during the first one fails, and does not thaw the membership: the membership would use sockets
// that the successor reads.
func TestSecondHandoverDoesNotTouchMembership(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	tb.writeConfig(tb.instanceText("one") + peersText("a", freeAddr(t), freeAddr(t)))
	begun, end := make(chan struct{}), make(chan struct{})
	r := tb.start(Options{StartSuccessor: func(context.Context, map[daemonconfig.Address]*os.File, []byte) error {
		close(begun)
		<-end
		return errors.New("no successor")
	}})
	incarnation := func() uint32 {
		s, ok := r.MembershipStatus()
		if !ok || len(s.Members) != 1 {
			t.Fatalf("membership status %+v", s)
		}
		return s.Members[0].Incarnation
	}
	eventually(t, "the membership runs", func() bool { _, ok := r.MembershipStatus(); return ok })
	first := make(chan error, 1)
	go func() { first <- r.Handover(context.Background()) }()
	<-begun
	before := incarnation()
	if err := r.Handover(context.Background()); err == nil || !strings.Contains(err.Error(), "already") {
		t.Error(err)
	}
	for range 5 { // each status comes from the transport's loop, and would show a membership that was thawed
		if now := incarnation(); now != before {
			t.Fatalf("the membership was thawed: incarnation %d after %d", now, before)
		}
	}
	close(end)
	if err := <-first; err == nil {
		t.Error("the first handover returned no error")
	}
	eventually(t, "the membership goes on", func() bool { return incarnation() == before+1 })
	tb.expectServed("one")
}
