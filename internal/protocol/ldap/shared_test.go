package ldap

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
)

// startLimited starts an agent with a fleet's limit on a kind of use, and without a lease of that limit.
func startLimited(t *testing.T, counts quota.Kind) (*testAgent, *client.Conn, *directory.Directory) {
	t.Helper()
	d := startDirectory(t, "one", directory.Options{})
	r := startAgent(t, testConfig(t, d), Options{})
	if !r.SetSharedLimits([]quota.Limit{{Name: "shared", Kind: counts, Class: -1, Zone: -1, Cell: -1}}) {
		t.Fatal("the agent did not take the limit")
	}
	return r, r.dial(t), d
}

func grantLease(t *testing.T, r *testAgent, amount int) {
	t.Helper()
	if !r.GrantLeases([]core.Lease{{Lease: quota.Lease{Limit: "shared", Grantor: "k", Number: 1, Amount: amount, Span: time.Minute}, ExpiresAt: time.Now().Add(time.Hour)}}) {
		t.Fatal("the agent did not take the lease")
	}
}

func TestOperationWithoutLeaseIsRejectedByItsLimit(t *testing.T) {
	for _, counts := range []quota.Kind{quota.InFlight, quota.Requests, quota.Attempts} {
		r, c, d := startLimited(t, counts)
		_, err := c.Search(baseSearch())
		var e *client.Error
		if !errors.As(err, &e) || e.ResultCode != ldapmsg.Busy || !strings.Contains(err.Error(), "the fleet's limit shared") {
			t.Fatalf("%v: %v", counts, err)
		}
		if got := d.Served("search"); got != 0 {
			t.Errorf("%v: the server had %d searches", counts, got)
		}
		grantLease(t, r, 5)
		if _, err := c.Search(baseSearch()); err != nil {
			t.Errorf("%v, with a lease: %v", counts, err)
		}
	}
}

func TestNoConnectionIsOpenedWithoutLease(t *testing.T) {
	r, c, d := startLimited(t, quota.NewConnections)
	if _, err := c.Search(baseSearch()); err == nil {
		t.Fatal("a search was served without a connection, and without a lease to open one")
	}
	if got := d.Conns(); got != 0 {
		t.Fatalf("%d connections were opened", got)
	}
	grantLease(t, r, 1)
	for range 3 { // one connection serves all searches
		if _, err := c.Search(baseSearch()); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.Conns(); got != 1 {
		t.Errorf("%d connections were opened with a lease of 1", got)
	}
}

// If an operator disables a server while an operation waits for a connection to it, the server does not get the
// operation.
func TestServerDisabledDuringDialGetsNothing(t *testing.T) {
	d := startDirectory(t, "one", directory.Options{})
	r := startAgent(t, testConfig(t, d), Options{})
	c := r.dial(t)
	held, dialing := make(chan struct{}), make(chan struct{}, 4)
	dial := r.p.pool.dialer
	r.p.pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- struct{}{}
		<-held
		return dial(ctx, network, addr)
	}
	done := make(chan error, 1)
	go func() { _, err := c.Search(baseSearch()); done <- err }()
	<-dialing
	if known, err := r.SetServerDisabled(t.Context(), "one", true); err != nil || !known {
		t.Fatal(known, err)
	}
	close(held)
	if err := <-done; err == nil || d.Served("search") != 0 {
		t.Errorf("%v, and the server had %d searches", err, d.Served("search"))
	}
}
