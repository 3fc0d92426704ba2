package ldap

import (
	"context"
	"net"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

// A write that is held up between its last check and the system call does not follow the final answer of its operation.
func TestNothingIsWrittenAfterTheFinalAnswer(t *testing.T) {
	const heldFor = 400 * time.Millisecond
	cfg := testConfig(t, dir(t, "one", directory.Options{}))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Aim, cfg.Settings.Classes[i].Deadline = 100*time.Millisecond, 100*time.Millisecond
	}
	r := start(t, cfg, Options{})
	held := make(chan *testkit.HeldWrite, 1)
	r.p.servers.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		h := testkit.NewHeldWrite(c)
		held <- h
		return h, nil
	}
	c := r.dial(t)
	answered := make(chan error, 1)
	go func() { answered <- c.Modify(modify("x")) }()
	h := testkit.Receive(t, "dial", held)
	testkit.Receive(t, "write", h.Entered)
	hold := time.NewTimer(heldFor)
	defer hold.Stop()
	select {
	case err := <-answered:
		t.Errorf("the final answer came (%v) while a write for its operation was under way, which follows it", err)
		answered <- err
	case <-hold.C:
	}
	close(h.Release)
	if err := testkit.Receive(t, "final answer", answered); code(err) != client.LDAPResultOther {
		t.Errorf("%v", err)
	}
}
