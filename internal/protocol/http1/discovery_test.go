package http1

import (
	"testing"

	"vetchhaven/internal/source/catalog"
	"vetchhaven/internal/testkit"
)

// An agent that starts while discovery is down serves by its stored list, follows discovery once
// it is back, and sends nothing new to a backend that then drains.
func TestDiscoveryDownAndBack(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	c := testkit.NewCatalog(t)
	a := start(t, testConfig(t, testkit.Setup{Mode: "subscribe", Discovery: c.Addr, Servers: []catalog.Member{one.member("one")}}))
	close(testkit.Receive(t, "watch", c.Watch).Fail)
	if x := a.do("GET", "/_health", ""); x.status != 200 {
		t.Errorf("health %+v", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || len(one.seen) != 1 {
		t.Errorf("%+v", x)
	}
	w := testkit.Receive(t, "second watch", c.Watch)
	drained := one.member("one")
	drained.State = "draining"
	w.Lines <- testkit.ToLine(t, 42, drained, two.member("two"))
	a.waitListed(t, "two")
	before := len(one.seen)
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	// One request may have been on its way to a step while the change was booked; none here was.
	if n := len(one.seen) - before; n != 0 {
		t.Errorf("%d requests went to the draining backend", n)
	}
}

// With no list at all an agent is not ready, and becomes so with the first one.
func TestNotReadyWithoutBackends(t *testing.T) {
	c := testkit.NewCatalog(t)
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.Setup{Mode: "subscribe", Discovery: c.Addr}))
	w := testkit.Receive(t, "watch", c.Watch)
	if x := a.do("GET", "/_health", ""); x.status != 503 {
		t.Errorf("health %+v", x)
	}
	w.Lines <- testkit.ToLine(t, 1, s.member("s"))
	testkit.WaitFor(t, "health", func() bool { return a.do("GET", "/_health", "").status == 200 })
}
