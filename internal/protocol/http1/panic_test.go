package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// After a panic what was taken is answered failed, and nothing is sent for it any more: not even by
// an attempt whose connection comes up later.
func TestNothingIsSentAfterAPanic(t *testing.T) {
	server := testkit.Listen(t)
	cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{{ID: "s", Addr: server.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}})
	a, own, err := newAgent(cfg, testkit.Quiet, core.Parts{})
	if err != nil {
		t.Fatal(err)
	}
	dialled, release := make(chan struct{}), make(chan struct{})
	own.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialled)
		<-release // a connection that comes up late, though its attempt has been given up
		return net.Dial(network, addr)
	}
	var blow atomic.Bool
	a.SetStepHook(func(core.Totals) {
		if blow.Load() {
			panic("brought about")
		}
	})
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	ask := func(id string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+a.Addr().String()+"/get", nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		req.Header.Set("X-Trace-Id", id)
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	status := make(chan int, 1)
	go func() { status <- ask("1") }()
	select {
	case <-dialled:
	case <-time.After(testkit.Patience):
		t.Fatal("no attempt")
	}
	blow.Store(true)
	go ask("2") // makes the loop step
	select {
	case got := <-status:
		if got != http.StatusBadGateway {
			t.Errorf("answered %d, want it failed", got)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("what was taken is not answered")
	}
	select {
	case err := <-ended:
		if !errors.Is(err, core.ErrPanic) {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("it does not end")
	}
	close(release)
	c, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(testkit.Patience)); err != nil {
		t.Fatal(err)
	}
	var buf [64]byte
	n, err := c.Read(buf[:])
	if n > 0 {
		t.Errorf("sent after the final answer: %q", buf[:n])
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		t.Error("the connection is kept for nothing")
	}
}
