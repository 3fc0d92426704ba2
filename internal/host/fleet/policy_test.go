package fleet

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/peer/policy"
)

// A copy that is being replaced under another policy finishes what it took, and takes nothing more, whatever later words
// its daemon hears: they are for the copies that serve by the new one.
func TestAReplacedCopyIsNotFreedByTheNextLease(t *testing.T) {
	s, came, release := holding()
	defer s.Close()
	defer release()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a"))
	r := y.start(Options{})
	out := make(chan string, 1)
	go func() {
		status, body, err := ask(client(y.sock("a"), false), "pay")
		out <- fmt.Sprint(status, body, err)
	}()
	<-came
	var old, now *core.Agent
	r.do(func() {
		old = r.parts["a"].agent
		over, err := readPolicy("policy", []byte("[rules]\nconnect_timeout = \"9s\"\nidle_close = \"60s\"\n"))
		if err != nil {
			t.Error(err)
			return
		}
		cfg, err := build(r.cfg.Path, r.cfg.data, over)
		if err == nil {
			err = r.turnTo(cfg)
		}
		if err != nil {
			t.Error(err)
		}
		now = r.parts["a"].agent
	})
	if old == now {
		t.Fatal("nothing was replaced")
	}
	for _, until := range []time.Duration{policy.Never, time.Hour} { // with vetoes, with stops
		r.served(policy.Serving{Doc: &policy.Doc{Number: 1}, Until: until}, time.Now())
		eventually(t, "the replaced copy takes nothing", func() bool { return !old.Takes() })
		if !now.Takes() {
			t.Error("the copy in its place takes nothing")
		}
	}
	release()
	if got := <-out; got != "200done<nil>" {
		t.Error(got)
	}
}
