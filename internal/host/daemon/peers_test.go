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

// freeAddr is an address on which nobody listens, for streams and datagrams.
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

// Whatever the daemon's part in its fleet does, fails at or hangs in never keeps an instance from serving.
func TestPeeringFailuresDoNotStopInstances(t *testing.T) {
	f := standin.NewForm("s-1", nil)
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
			eventually(t, "the fault", func() bool { return steps.Load() > 0 })
			tb.expectServed("one")
			if name == "panics" {
				eventually(t, "a restart", func() bool { return steps.Load() > 3 })
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
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	addr := freeAddr(t)
	y, z := newTestbed(t, f.Member("ready")), newTestbed(t, f.Member("ready"))
	y.writeConfig(y.instanceText("one") + peersText("a", addr, addr))
	z.writeConfig(z.instanceText("one", "two") + peersText("b", freeAddr(t), addr))
	a, b := y.start(Options{}), z.start(Options{})
	sees := func(r *testDaemon, most, least int) func() bool {
		return func() bool {
			c := r.size.Load()
			return c != nil && c.MaxBalancers == most && c.MinBalancers == least && !c.FromFile
		}
	}
	eventually(t, "three balancers", sees(a, 3, 3))
	eventually(t, "three balancers", sees(b, 3, 3))
	y.expectServed("one")

	// Another instance is told of, one that leaves in order too.
	z.writeConfig(z.instanceText("one", "two", "three") + b.peersText(t))
	if _, err := b.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "four balancers", sees(a, 4, 4))
	if err := b.end(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "one balancer", sees(a, 1, 1))
}

func (d *testDaemon) peersText(t *testing.T) string {
	t.Helper()
	return peersText(d.cfg.Peers.Name, d.cfg.Peers.Listen, d.cfg.Peers.Seeds...)
}

func TestReloadStartsAndEndsPeering(t *testing.T) {
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	addr := freeAddr(t)
	y, z := newTestbed(t, f.Member("ready")), newTestbed(t, f.Member("ready"))
	z.writeConfig(z.instanceText("one") + peersText("b", addr, addr))
	b := z.start(Options{})
	y.writeConfig(y.instanceText("one"))
	a := y.start(Options{})
	if _, ok := a.MembershipStatus(); ok {
		t.Error("a view without [peers]")
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
	y.writeConfig(y.instanceText("one") + peersText("a", freeAddr(t), addr))
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a is alive", func() bool { return state("a")() == "alive" })
	was, _ := a.MembershipStatus()
	text := strings.Replace(a.peersText(t), "50ms", "60ms", 1) // the same member with another setting
	y.writeConfig(y.instanceText("one") + text)
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the same member goes on", func() bool {
		now, ok := a.MembershipStatus()
		return ok && now.RunID == was.RunID && len(now.Members) == 2
	})
	y.writeConfig(y.instanceText("one"))
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a has left", func() bool { return state("a")() == "left" })
	y.expectServed("one")
}

// A second handover while the first goes on is refused, and leaves the view to the first: it would talk on sockets
// that a successor reads.
func TestSecondHandoverDoesNotTouchMembership(t *testing.T) {
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	tb.writeConfig(tb.instanceText("one") + peersText("a", freeAddr(t), freeAddr(t)))
	begun, end := make(chan struct{}), make(chan struct{})
	r := tb.start(Options{Upgrade: func(context.Context, map[daemonconfig.Address]*os.File, []byte) error {
		close(begun)
		<-end
		return errors.New("no successor")
	}})
	inc := func() uint32 {
		s, ok := r.MembershipStatus()
		if !ok || len(s.Members) != 1 {
			t.Fatalf("%+v", s)
		}
		return s.Members[0].Incarnation
	}
	eventually(t, "a view", func() bool { _, ok := r.MembershipStatus(); return ok })
	first := make(chan error, 1)
	go func() { first <- r.Handover(context.Background()) }()
	<-begun
	was := inc()
	if err := r.Handover(context.Background()); err == nil || !strings.Contains(err.Error(), "already") {
		t.Error(err)
	}
	for range 5 { // each goes through the view's loop, and would find that it went on
		if now := inc(); now != was {
			t.Fatalf("it goes on: incarnation %d after %d", now, was)
		}
	}
	close(end)
	if err := <-first; err == nil {
		t.Error("no error")
	}
	eventually(t, "it goes on", func() bool { return inc() == was+1 })
	tb.expectServed("one")
}
